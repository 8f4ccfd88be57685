//! What tests of processes share.

/// The processes that one has started, by number.
pub fn children(of: u32) -> Vec<u32> {
    let parent = |pid: &u32| -> Option<u32> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse().ok()
    };
    let all = std::fs::read_dir("/proc").unwrap().flatten();
    let pids = all.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    let mut all: Vec<u32> = pids.filter(|pid| parent(pid) == Some(of)).collect();
    all.sort_unstable();
    all
}
