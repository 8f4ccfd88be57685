//! Checks that imports between the modules of a crate form no cycle, as docs/design.md demands.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// The modules of the same crate that each module imports. Module paths are written `a::b`; the crate root is
/// the empty string.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Collects the source text of each module below a directory.
fn read_modules(directory: &Path, module: &str, into: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        let inner = if module.is_empty() { name.clone() } else { format!("{module}::{name}") };
        if path.is_dir() {
            read_modules(&path, &inner, into);
        } else {
            let module = if ["lib", "mod"].contains(&name.as_str()) { module.to_owned() } else { inner };
            into.insert(module, fs::read_to_string(&path).unwrap());
        }
    }
}

/// The paths that a source text uses: in `use` declarations, with groups expanded, and inline in the code.
/// Unit tests are ignored.
fn used_paths(text: &str) -> Vec<String> {
    let text = text.split("#[cfg(test)]").next().unwrap();
    let mut paths = Vec::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("use ") {
        let starts_line =
            before.rsplit('\n').next().unwrap().trim().trim_end_matches("pub").trim().is_empty();
        rest = after;
        if starts_line {
            let (tree, after) = after.split_once(';').unwrap();
            expand_use_tree("", &tree.split_whitespace().collect::<Vec<_>>().join(" "), &mut paths);
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

/// Expands a use tree such as `a::{b, c}` below a prefix into single paths.
fn expand_use_tree(before: &str, tree: &str, into: &mut Vec<String>) {
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
                expand_use_tree(&format!("{before}{}", path.trim()), part, into);
            }
        }
    }
}

/// Resolves the paths that each module uses to modules of the same crate.
fn imports(texts: &BTreeMap<String, String>) -> Imports {
    let parent = |module: &str| module.rsplit_once("::").map_or("", |(parent, _)| parent).to_owned();
    let joined = |a: &str, b: &str| if a.is_empty() { b.to_owned() } else { format!("{a}::{b}") };
    let resolve = |module: &str, path: &str| {
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
        let unprefixed = !matches!(path.split("::").next(), Some("crate" | "super" | "self"));
        // A path with none of these prefixes belongs to another crate, unless it names a child of this
        // module.
        let found = names.join("::");
        (!(unprefixed && found.len() <= module.len()) && found != module).then_some(found)
    };
    texts
        .iter()
        .map(|(module, text)| {
            (module.clone(), used_paths(text).iter().filter_map(|path| resolve(module, path)).collect())
        })
        .collect()
}

/// Returns a path of imports that ends in a module already on it, if there is one.
fn find_cycle(imports: &Imports) -> Option<Vec<String>> {
    fn visit(imports: &Imports, path: &mut Vec<String>, visited: &mut BTreeSet<String>) -> bool {
        let at = path.last().cloned().unwrap_or_default();
        for next in imports.get(&at).into_iter().flatten() {
            let seen = path.contains(next);
            path.push(next.clone());
            if seen || (!visited.contains(next) && visit(imports, path, visited)) {
                return true;
            }
            path.pop();
        }
        visited.insert(at);
        false
    }
    let mut visited = BTreeSet::new();
    imports.keys().find_map(|module| {
        let mut path = vec![module.clone()];
        visit(imports, &mut path, &mut visited).then_some(path)
    })
}

#[test]
fn modules_of_a_crate_have_no_cyclic_imports() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("crates");
    let crates: Vec<PathBuf> = fs::read_dir(root).unwrap().map(|entry| entry.unwrap().path()).collect();
    let mut edges = 0;
    for directory in crates {
        let mut texts = BTreeMap::new();
        read_modules(&directory.join("src"), "", &mut texts);
        let imports = imports(&texts);
        edges += imports.values().map(BTreeSet::len).sum::<usize>();
        assert_eq!(find_cycle(&imports), None, "{}", directory.display());
    }
    assert!(edges >= 60, "only {edges} imports were found");
}

#[test]
fn cycles_are_found_in_every_form_of_import() {
    let tree = |a: &str, b: &str, c: &str| {
        let texts = [("", "mod a;"), ("a", a), ("a::b", b), ("c", c)];
        find_cycle(&imports(&texts.map(|(module, text)| (module.to_owned(), text.to_owned())).into()))
    };
    assert_eq!(tree("use crate::c::X;", "use super::Y;", "use std::io;"), None);
    for (a, b, c) in [
        ("use crate::c::X;", "", "use crate::a::Y;"),
        ("use crate::{c::{X, Z}, other::W};", "", "pub use crate::a;"),
        ("use b::X;", "use super::*;", ""),
        ("use self::b::X;", "use crate::c::Z;", "use crate::{\n    a::Y,\n};"),
        ("", "fn f() { crate::c::go() }", "use crate::a::b::Y;"),
    ] {
        let path = tree(a, b, c);
        assert!(path.as_ref().is_some_and(|path| path.len() > 2), "{a} {b} {c}: {path:?}");
    }
    assert_eq!(tree("#[cfg(test)]\nmod tests { use crate::c::X; }", "", "use crate::a::Y;"), None);
}
