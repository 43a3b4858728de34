//! An entry node as a process of its own, whose memory and descriptors can be read.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use super::NodeSpec;
use super::caller::Caller;

/// What the settings of the node allow its process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    pub memory_mb: u64,
    pub descriptors_max: u64,
}

/// The process ends when this is dropped.
pub struct NodeProcess {
    child: Child,
    settings: PathBuf,
    pub caller: Caller,
    /// Where the node listens for its peers.
    pub peers: SocketAddr,
}

impl NodeProcess {
    /// Starts the process, and waits until it is ready.
    pub async fn start(name: &str, store: SocketAddr, limits: ProcessLimits) -> Self {
        let spec = NodeSpec::new(name, "dc-a");
        let stated = format!(
            "memory-mb: {}\n  max-fds: {}",
            limits.memory_mb, limits.descriptors_max
        );
        let text = spec.settings(store, 8).replace("memory-mb: 110", &stated);
        let file = format!("zinniawing-{}-{name}.yaml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, text).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_zinniawing"))
            .args(["edge", "--settings"])
            .arg(&settings)
            .args(["--metrics-port", &spec.metrics_port.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the node starts");
        let caller = Caller::new(&spec);
        caller.wait_until_ready().await;
        Self {
            child,
            settings,
            caller,
            peers: spec.peers,
        }
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Highest resident memory since the start of the process.
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.trim().strip_suffix(" kB"));
        let kilobytes: u64 = kilobytes
            .and_then(|text| text.parse().ok())
            .expect("a number");
        kilobytes * 1_024
    }

    /// Processor time that the process has used, in clock ticks of the kernel.
    pub fn processor_ticks(&self) -> u64 {
        const USER_TIME_AT: usize = 11;
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.expect("the process runs");
        let (_, after_name) = stat.rsplit_once(") ").expect("the name of the program");
        let times = after_name.split(' ').skip(USER_TIME_AT).take(2);
        times
            .map(|time| time.parse::<u64>().expect("a number"))
            .sum()
    }

    pub fn descriptor_count(&self) -> u64 {
        let open = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.expect("the process runs").count() as u64
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}
