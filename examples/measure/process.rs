//! Operating system statistics: processor time, resident memory and load.

use std::{fs, io, process};

/// Processor time of a process, in nanoseconds.
pub(crate) struct Cpu {
    /// All threads.
    pub(crate) all: u64,
    /// The control thread alone.
    pub(crate) control: u64,
}

/// Returns the processor time that the live threads of a process have used so far.
///
/// Reads `schedstat`, which counts nanoseconds; `stat` only counts hundredths of a second.
pub(crate) fn cpu(pid: u32) -> io::Result<Cpu> {
    let mut cpu = Cpu { all: 0, control: 0 };
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = task?.path();
        // A thread may end after it was listed.
        let Ok(stat) = fs::read_to_string(path.join("schedstat")) else { continue };
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        let spent = stat.split(' ').next().and_then(|n| n.parse::<u64>().ok()).unwrap_or_default();
        cpu.all += spent;
        if name.trim() == "control" {
            cpu.control += spent;
        }
    }
    Ok(cpu)
}

/// Returns the processor time of this process so far, in nanoseconds.
pub(crate) fn own_cpu() -> u64 {
    cpu(process::id()).map_or(0, |c| c.all)
}

/// Returns the resident memory of a process in KiB.
pub(crate) fn resident(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let digits = line.and_then(|l| l.split_whitespace().next());
    digits
        .and_then(|d| d.parse().ok())
        .ok_or_else(|| io::Error::other("no VmRSS line in the status of the process"))
}

/// Returns the resident memory of this process in KiB.
pub(crate) fn own_resident() -> u64 {
    resident(process::id()).unwrap_or_default()
}

/// Returns the load average of the last minute.
pub(crate) fn load() -> String {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    load.split(' ').next().unwrap_or("unknown").to_owned()
}
