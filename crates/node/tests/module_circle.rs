//! Guards against growth of the largest circle of files that use each other.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use pathfinding::directed::strongly_connected_components::strongly_connected_components;

/// Number of files in the largest circle; new parts stand outside it.
const MAX_CIRCLE_FILES: usize = 25;

type Module = Vec<String>;

fn modules(folder: &Path, module: &Module, found: &mut BTreeMap<Module, PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let stem = path.file_stem().unwrap().to_string_lossy().into_owned();
        let mut child = module.clone();
        if path.is_dir() {
            child.push(stem);
            modules(&path, &child, found);
        } else if stem == "mod" || stem == "lib" {
            found.insert(child, path);
        } else {
            child.push(stem);
            found.insert(child, path);
        }
    }
}

/// Returns the paths that a file names, as segments from the root of the crate.
fn named_paths(text: &str, module: &Module) -> Vec<Module> {
    let code = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"));
    let code: String = code.flat_map(|line| [line.trim(), " "]).collect();
    let separators = |c: char| !(c.is_alphanumeric() || "_:{},* ".contains(c));
    let mut paths = Vec::new();
    for statement in code.split(separators) {
        for (start, root) in [("crate::", 0), ("super::", 1)] {
            let mut rest = statement;
            while let Some(at) = rest.find(start) {
                rest = &rest[at + start.len()..];
                let up = module.len().saturating_sub(root);
                let base: Module = match root {
                    0 => Vec::new(),
                    _ => module[..up].to_vec(),
                };
                expand(rest, base, &mut paths);
            }
        }
    }
    paths
}

/// Adds the path at the beginning of `text`, or each one of a group in braces.
fn expand(text: &str, mut base: Module, paths: &mut Vec<Module>) {
    let mut rest = text;
    while !rest.starts_with('{') {
        let end = rest.find(|c: char| !(c.is_alphanumeric() || c == '_'));
        let (segment, after) = rest.split_at(end.unwrap_or(rest.len()));
        if !segment.is_empty() {
            base.push(segment.to_owned());
        }
        match after.strip_prefix("::") {
            Some(next) => rest = next,
            None => return paths.push(base),
        }
    }
    let (mut depth, mut start) = (0, 1);
    for (index, c) in rest.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        if (c == ',' && depth == 1) || depth == 0 {
            expand(rest[start..index].trim(), base.clone(), paths);
            start = index + 1;
        }
        if depth == 0 {
            return;
        }
    }
}

#[test]
fn the_largest_circle_of_files_does_not_grow() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = BTreeMap::new();
    modules(&source, &Vec::new(), &mut files);
    let arrows: BTreeMap<_, BTreeSet<_>> = files
        .iter()
        .map(|(module, path)| {
            let named = named_paths(&fs::read_to_string(path).unwrap(), module);
            let used = named.into_iter().filter_map(|mut path| {
                while !files.contains_key(&path) && path.pop().is_some() {}
                (!path.is_empty() && path != *module).then_some(path)
            });
            (module.clone(), used.collect())
        })
        .collect();
    let nodes: Vec<_> = files.keys().cloned().collect();
    let circles = strongly_connected_components(&nodes, |module| arrows[module].clone());
    let largest = circles.into_iter().max_by_key(Vec::len).unwrap_or_default();
    assert!(
        largest.len() <= MAX_CIRCLE_FILES,
        "{} files use each other: {largest:?}",
        largest.len()
    );
}
