//! Collects team files from a folder and its subfolders.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use walkdir::DirEntry;
use walkdir::WalkDir;

use mustardpath_core::collection::MAX_FILE_BYTES;

/// Suffix of the names of team files.
pub const FILE_SUFFIX: &str = ".mustardpath.json";

/// Maximum number of team files. The target deployment has 61 teams, and the limit leaves room for
/// growth.
const MAX_FILES: usize = 1_000;

/// Maximum number of nested folders below the start folder.
const MAX_DEPTH: usize = 32;

/// Maximum number of files and folders that are visited.
const MAX_ENTRIES: usize = 200_000;

/// Contents of team files, sorted by path. Paths are relative to the start folder.
pub type CollectedFiles = BTreeMap<String, Vec<u8>>;

/// Reads all files below `start` whose names end with [`FILE_SUFFIX`].
///
/// Hidden folders, whose names start with a dot, are skipped. Symbolic links to files and folders
/// in the tree are skipped too, because their targets are visited themselves.
///
/// # Errors
///
/// Returns one message for each link to a target outside the tree, each unreadable entry and each
/// exceeded limit, or one message if there is no team file.
pub fn collect(start: &Path) -> Result<CollectedFiles, Vec<String>> {
    let root =
        fs::canonicalize(start).map_err(|error| vec![format!("{}: {error}", start.display())])?;
    if !root.is_dir() {
        return Err(vec![format!("{}: not a folder", start.display())]);
    }
    let mut walk = TreeWalk::new(root);
    walk.run();
    if walk.problems.is_empty() && walk.files.is_empty() {
        let message = format!("{}: no file named *{FILE_SUFFIX}", start.display());
        walk.problems.push(message);
    }
    if walk.problems.is_empty() {
        Ok(walk.files)
    } else {
        Err(walk.problems)
    }
}

struct TreeWalk {
    root: PathBuf,
    files: CollectedFiles,
    problems: Vec<String>,
}

impl TreeWalk {
    const fn new(root: PathBuf) -> Self {
        Self {
            root,
            files: BTreeMap::new(),
            problems: Vec::new(),
        }
    }

    fn run(&mut self) {
        let entries = WalkDir::new(&self.root)
            .max_depth(MAX_DEPTH + 1)
            .sort_by_file_name()
            .into_iter()
            .filter_entry(|entry| entry.depth() == 0 || !is_hidden_folder(entry));
        for (count, entry) in entries.enumerate() {
            if count >= MAX_ENTRIES {
                let message = format!("more than {MAX_ENTRIES} files and folders");
                self.problems.push(message);
                return;
            }
            match entry {
                Ok(entry) => self.visit(&entry),
                Err(error) => self.problems.push(error.to_string()),
            }
            if self.files.len() > MAX_FILES {
                let message = format!("more than {MAX_FILES} files named *{FILE_SUFFIX}");
                self.problems.push(message);
                return;
            }
        }
    }

    fn visit(&mut self, entry: &DirEntry) {
        let name = self.relative_name(entry.path());
        if entry.depth() > MAX_DEPTH {
            let message = format!("{name}: more than {MAX_DEPTH} folders deep");
            self.problems.push(message);
        } else if entry.path_is_symlink() {
            self.visit_link(entry, &name);
        } else if has_file_suffix(entry.path()) && !entry.file_type().is_dir() {
            self.visit_file(entry, name);
        }
    }

    fn visit_file(&mut self, entry: &DirEntry, name: String) {
        if !entry.file_type().is_file() {
            self.problems.push(format!("{name}: not a regular file"));
        } else if entry.path().to_str().is_none() {
            self.problems.push(format!("{name}: the path is not UTF-8"));
        } else {
            self.read(entry.path(), name);
        }
    }

    /// Reports a link as a problem if its target is a folder or team file outside the tree, or if
    /// the link is named like a team file and its target is not.
    fn visit_link(&mut self, entry: &DirEntry, name: &str) {
        let has_suffix = has_file_suffix(entry.path());
        let target = match fs::canonicalize(entry.path()) {
            Ok(target) => target,
            Err(_) if !has_suffix => return,
            Err(error) => {
                self.problems.push(format!("{name}: {error}"));
                return;
            }
        };
        let must_be_inside = has_suffix || target.is_dir();
        if must_be_inside && !target.starts_with(&self.root) {
            let message = format!("{name}: a link to {}, outside the tree", target.display());
            self.problems.push(message);
        } else if has_suffix && !has_file_suffix(&target) {
            let message = format!("{name}: a link to a file that is not named *{FILE_SUFFIX}");
            self.problems.push(message);
        }
    }

    fn read(&mut self, path: &Path, name: String) {
        match read_bounded(path) {
            Ok(bytes) => {
                self.files.insert(name, bytes);
            }
            Err(error) => self.problems.push(format!("{name}: {error}")),
        }
    }

    fn relative_name(&self, path: &Path) -> String {
        let relative = path.strip_prefix(&self.root).unwrap_or(path);
        relative.display().to_string()
    }
}

/// Reads at most one byte more than the maximum size of a team file. The additional byte lets the
/// check detect a file that is too large.
fn read_bounded(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let bound = u64::try_from(MAX_FILE_BYTES).unwrap_or(u64::MAX);
    File::open(path)?.take(bound + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn has_file_suffix(path: &Path) -> bool {
    path.file_name()
        .is_some_and(|name| name.to_string_lossy().ends_with(FILE_SUFFIX))
}

fn is_hidden_folder(entry: &DirEntry) -> bool {
    entry.file_type().is_dir() && entry.file_name().to_string_lossy().starts_with('.')
}
