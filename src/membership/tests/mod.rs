mod crash_announcement;
mod peer_server;
mod update_queue;
