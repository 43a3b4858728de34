mod update_queue;
