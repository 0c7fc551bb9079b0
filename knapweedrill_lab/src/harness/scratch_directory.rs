//! Temporary directory of a test.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::{env, fs, io, process, thread};

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A temporary directory that is removed on drop, unless the thread is panicking.
#[derive(Debug)]
pub struct ScratchDirectory {
    path: PathBuf,
}

impl ScratchDirectory {
    /// Creates a directory with a unique name.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory can't be created.
    pub fn create() -> io::Result<Self> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("knapweedrill-lab-{}-{number}", process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!(
                "settings and output of the processes are kept in {}",
                self.path.display()
            );
            return;
        }
        // A failure is ignored: files left in the system's temporary directory are harmless.
        let _ = fs::remove_dir_all(&self.path);
    }
}
