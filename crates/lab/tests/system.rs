//! The system on loopback, as README starts it.

use std::path::Path;
use std::process::Command;

fn once(port: u16, out: &Path) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_granitelead-lab"));
    let run =
        command.args(["system", "--once", "--port", &port.to_string(), "--out"]).arg(out).output().unwrap();
    (
        run.status.success(),
        String::from_utf8_lossy(&run.stdout).into_owned() + &String::from_utf8_lossy(&run.stderr),
    )
}

#[test]
fn a_request_goes_through_marker_and_gatekeeper_also_after_both_have_ended() {
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("system-{}", std::process::id()));
    // Below the ports that the system gives to nobody by itself; tests at the same time have others.
    let port = 21_000 + (std::process::id() % 400) as u16 * 20;
    for _ in 0..2 {
        let (good, said) = once(port, &out);
        assert!(good && said.contains("through the gatekeeper: served"), "{said}");
    }
    std::fs::remove_dir_all(out).unwrap();
}
