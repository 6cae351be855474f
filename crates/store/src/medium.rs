//! The file system operations that a store on files needs: a directory of small files, each written as a
//! whole.

use std::fs::File;
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A directory of files. Changes survive a power loss only after a sync: the content of a file after
/// [`Medium::sync`], the names of files after [`Medium::sync_directory`].
pub trait Medium {
    /// Locks the directory exclusively until this value is dropped; `false` if another process holds the
    /// lock.
    ///
    /// # Errors
    /// If the lock's state can't be determined.
    fn lock(&mut self) -> io::Result<bool>;

    /// Lists the names of the files.
    ///
    /// # Errors
    /// If the directory can't be read.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads bytes of a file at an offset. A short read does not mean the end of the file; a read of 0 bytes
    /// does.
    ///
    /// # Errors
    /// `NotFound` if there is no such file; `Interrupted` if the read should be repeated.
    fn read(&mut self, file: &str, at: u64, into: &mut [u8]) -> io::Result<usize>;

    /// Creates or truncates a file and writes its content. After an error a part of it may have been written.
    ///
    /// # Errors
    /// If not all bytes were written.
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content last written to a file durable. After an error the content may be lost even if a
    /// second sync succeeds, because some systems report a write-back error only once: write the file again.
    ///
    /// # Errors
    /// If the content may not be durable.
    fn sync(&mut self, file: &str) -> io::Result<()>;

    /// Renames a file, replacing a file of the new name.
    ///
    /// # Errors
    /// If the file still has its old name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// If the file is still there.
    fn remove(&mut self, file: &str) -> io::Result<()>;

    /// Makes all changes of file names durable. After an error each change may or may not be durable. A later
    /// sync that succeeds makes all of them durable, because a journaling file system that can't write its
    /// journal rejects further changes.
    ///
    /// # Errors
    /// If a change may not be durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A directory of the local file system.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    lock_file: String,
    lock_handle: Option<File>,
    /// Name and handle of the file last written. A sync through another handle might not report its write
    /// errors.
    last_written: Option<(String, File)>,
}

impl Directory {
    /// Opens a directory, creating it if needed. `lock_file` is the name of the file in it that serves as its
    /// lock.
    ///
    /// # Errors
    /// If it can't be created.
    pub fn new(path: &Path, lock_file: &str) -> io::Result<Directory> {
        if !path.is_dir() {
            std::fs::create_dir_all(path)?;
            // The name of the new directory must survive a power loss too.
            if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                File::open(parent)?.sync_all()?;
            }
        }
        Ok(Directory {
            path: path.to_owned(),
            lock_file: lock_file.to_owned(),
            lock_handle: None,
            last_written: None,
        })
    }

    /// The path of a file in the directory.
    pub fn path(&self, file: &str) -> PathBuf {
        self.path.join(file)
    }
}

impl Medium for Directory {
    fn lock(&mut self) -> io::Result<bool> {
        let file = File::create(self.path(&self.lock_file))?;
        match rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => self.lock_handle = Some(file),
            Err(rustix::io::Errno::WOULDBLOCK) => return Ok(false),
            Err(e) => return Err(e.into()),
        }
        Ok(true)
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let name = |entry: io::Result<std::fs::DirEntry>| Ok(entry?.file_name().into_string().ok());
        std::fs::read_dir(&self.path)?.filter_map(|entry| name(entry).transpose()).collect()
    }

    fn read(&mut self, file: &str, at: u64, into: &mut [u8]) -> io::Result<usize> {
        File::open(self.path(file))?.read_at(into, at)
    }

    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.last_written = None;
        let mut created = File::create(self.path(file))?;
        created.write_all(bytes)?;
        self.last_written = Some((file.to_owned(), created));
        Ok(())
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        match self.last_written.take() {
            Some((name, handle)) if name == file => handle.sync_all(),
            _ => Err(io::Error::other("the file to sync is not the one last written")),
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path(from), self.path(to))
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        std::fs::remove_file(self.path(file))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
