//! Limits on the size of the policy module, and a check that its first lines name the interface.

use std::fs;
use std::path::Path;

/// The files that the deployment lists as the policy module, with their contents.
fn module() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let policy = deploy.split_once("policy = [").and_then(|(_, rest)| rest.split_once(']')).unwrap().0;
    let files = policy.split(',').map(|name| name.trim().trim_matches('"')).filter(|name| !name.is_empty());
    files.map(|name| (name.to_owned(), fs::read_to_string(root.join(name)).unwrap())).collect()
}

#[test]
fn the_module_has_at_most_1200_lines_of_110_characters() {
    let module = module();
    let lines = module.iter().flat_map(|(_, text)| text.lines()).filter(|line| !line.trim().is_empty());
    let lines = lines.count();
    assert!(lines <= 1_200, "{lines} non-blank lines");
    for (name, text) in module {
        for (n, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}: line {} is too long", n + 1);
        }
    }
}

#[test]
fn the_first_lines_name_the_interface() {
    let (_, text) = module().into_iter().find(|(name, _)| name.ends_with("mod.rs")).unwrap();
    assert!(text.lines().take(3).any(|line| line.contains("api.rs")));
}

#[test]
fn the_deployment_lists_every_file_of_the_module() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/gatekeeper");
    let mut files: Vec<String> = fs::read_dir(directory)
        .unwrap()
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .collect();
    let mut named: Vec<String> =
        module().iter().map(|(name, _)| name.rsplit('/').next().unwrap().to_owned()).collect();
    files.sort();
    named.sort();
    assert_eq!(files, named);
}
