//! The house stands as docs/design.md says: imports between the files of a crate run one way.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// What each file of a crate imports from others of it: by module, as `a::b`, the crate's root being empty.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// All files of a crate by module, with their texts.
fn files(folder: &Path, module: &str, into: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        let inner = if module.is_empty() { name.clone() } else { format!("{module}::{name}") };
        if path.is_dir() {
            files(&path, &inner, into);
        } else {
            let module = if ["lib", "mod"].contains(&name.as_str()) { module.to_owned() } else { inner };
            into.insert(module, fs::read_to_string(&path).unwrap());
        }
    }
}

/// The paths that a text names after `use`, with groups spelt out; what its tests use does not count.
fn used(text: &str) -> Vec<String> {
    let text = text.split("#[cfg(test)]").next().unwrap();
    let mut paths = Vec::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("use ") {
        let begins = before.rsplit('\n').next().unwrap().trim().trim_end_matches("pub").trim().is_empty();
        rest = after;
        if begins {
            let (tree, after) = after.split_once(';').unwrap();
            spell_out("", &tree.split_whitespace().collect::<Vec<_>>().join(" "), &mut paths);
            rest = after;
        }
    }
    // Paths in the code itself.
    for line in text.lines().filter(|line| !line.trim_start().starts_with("//")) {
        for root in ["crate::", "super::"] {
            for (at, _) in line.match_indices(root) {
                let path: String =
                    line[at..].chars().take_while(|c| c.is_alphanumeric() || "_:".contains(*c)).collect();
                paths.push(path.trim_end_matches(':').to_owned());
            }
        }
    }
    paths
}

fn spell_out(before: &str, tree: &str, into: &mut Vec<String>) {
    let Some((path, group)) = tree.split_once('{') else {
        return into.push(format!("{before}{}", tree.split(" as ").next().unwrap().trim()));
    };
    let group = group.trim().strip_suffix('}').unwrap_or(group);
    let (mut depth, mut begin) = (0, 0);
    for (at, c) in group.char_indices().chain([(group.len(), ',')]) {
        depth += i32::from(c == '{') - i32::from(c == '}');
        if c == ',' && depth == 0 {
            let part = group[begin..at].trim();
            begin = at + 1;
            if !part.is_empty() {
                spell_out(&format!("{before}{}", path.trim()), part, into);
            }
        }
    }
}

fn imports(texts: &BTreeMap<String, String>) -> Imports {
    let parent = |module: &str| module.rsplit_once("::").map_or("", |(parent, _)| parent).to_owned();
    let joined = |a: &str, b: &str| if a.is_empty() { b.to_owned() } else { format!("{a}::{b}") };
    let of = |module: &str, path: &str| {
        let full = match path.split_once("::") {
            Some(("crate", rest)) => rest.to_owned(),
            Some(("super", rest)) => joined(&parent(module), rest),
            Some(("self", rest)) => joined(module, rest),
            _ => joined(module, path),
        };
        let mut names: Vec<&str> = full.split("::").collect();
        while !names.is_empty() && !texts.contains_key(&names.join("::")) {
            names.pop();
        }
        let own = !matches!(path.split("::").next(), Some("crate" | "super" | "self"));
        // A path that begins with neither is of another crate, unless it is that of a module in here.
        let found = names.join("::");
        (!(own && found.len() <= module.len()) && found != module).then_some(found)
    };
    texts
        .iter()
        .map(|(module, text)| {
            (module.clone(), used(text).iter().filter_map(|path| of(module, path)).collect())
        })
        .collect()
}

/// A way from a module back to itself, if there is one.
fn circle(imports: &Imports) -> Option<Vec<String>> {
    fn walk(imports: &Imports, way: &mut Vec<String>, done: &mut BTreeSet<String>) -> bool {
        let at = way.last().cloned().unwrap_or_default();
        for next in imports.get(&at).into_iter().flatten() {
            let seen = way.contains(next);
            way.push(next.clone());
            if seen || (!done.contains(next) && walk(imports, way, done)) {
                return true;
            }
            way.pop();
        }
        done.insert(at);
        false
    }
    let mut done = BTreeSet::new();
    imports.keys().find_map(|module| {
        let mut way = vec![module.clone()];
        walk(imports, &mut way, &mut done).then_some(way)
    })
}

#[test]
fn no_files_of_a_crate_import_each_other_in_a_circle() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("crates");
    let crates: Vec<PathBuf> = fs::read_dir(root).unwrap().map(|entry| entry.unwrap().path()).collect();
    let mut edges = 0;
    for folder in crates {
        let mut texts = BTreeMap::new();
        files(&folder.join("src"), "", &mut texts);
        let imports = imports(&texts);
        edges += imports.values().map(BTreeSet::len).sum::<usize>();
        assert_eq!(circle(&imports), None, "{}", folder.display());
    }
    assert!(edges >= 60, "only {edges} imports are seen");
}

#[test]
fn a_circle_is_seen_however_it_is_written() {
    let tree = |a: &str, b: &str, c: &str| {
        let texts = [("", "mod a;"), ("a", a), ("a::b", b), ("c", c)];
        circle(&imports(&texts.map(|(module, text)| (module.to_owned(), text.to_owned())).into()))
    };
    assert_eq!(tree("use crate::c::X;", "use super::Y;", "use std::io;"), None);
    for (a, b, c) in [
        ("use crate::c::X;", "", "use crate::a::Y;"),
        ("use crate::{c::{X, Z}, other::W};", "", "pub use crate::a;"),
        ("use b::X;", "use super::*;", ""),
        ("use self::b::X;", "use crate::c::Z;", "use crate::{\n    a::Y,\n};"),
        ("", "fn f() { crate::c::go() }", "use crate::a::b::Y;"),
    ] {
        let way = tree(a, b, c);
        assert!(way.as_ref().is_some_and(|way| way.len() > 2), "{a} {b} {c}: {way:?}");
    }
    assert_eq!(tree("#[cfg(test)]\nmod tests { use crate::c::X; }", "", "use crate::a::Y;"), None);
}
