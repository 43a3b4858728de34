mod crash_announcement;
mod update_queue;
