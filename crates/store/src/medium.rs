//! What a store on files asks of a disk: a folder of small files, each written as a whole.

use std::fs::File;
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A folder. Nothing outlasts a loss of power before it is synced: a file's octets by [`Medium::sync`], the names of files by
/// [`Medium::sync_directory`].
pub trait Medium {
    /// Takes the folder for this one alone, as long as this value lives; `false` if another one has it.
    ///
    /// # Errors
    /// Why it cannot be told.
    fn lock(&mut self) -> io::Result<bool>;

    /// The names of its files.
    ///
    /// # Errors
    /// Why they cannot be told.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads octets of a file from a place on; fewer than asked for say nothing, none say that it ends there.
    ///
    /// # Errors
    /// `NotFound` if there is no such file; `Interrupted` if it is to be asked again.
    fn read(&mut self, file: &str, at: u64, into: &mut [u8]) -> io::Result<usize>;

    /// Makes a file with these octets, in place of one of that name. An error may leave a part of them.
    ///
    /// # Errors
    /// Why not all of them are written.
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// What was last written to a file outlasts a loss of power. After an error it may be lost, and a second try may say
    /// nothing of it: write it anew.
    ///
    /// # Errors
    /// Why it may not.
    fn sync(&mut self, file: &str) -> io::Result<()>;

    /// Gives a file another name, in place of one that has it.
    ///
    /// # Errors
    /// Why it still has the old one.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Takes a file away.
    ///
    /// # Errors
    /// Why it is still there.
    fn remove(&mut self, file: &str) -> io::Result<()>;

    /// The names of the files outlast a loss of power. After an error each change of them may or may not, and a second try
    /// that goes well says that all do: where it could not, a journalling file system takes no more changes.
    ///
    /// # Errors
    /// Why they may not.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A folder of this machine.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    lock: String,
    held: Option<File>,
    /// The file last written: a sync through another handle might not tell of its errors.
    written: Option<(String, File)>,
}

impl Directory {
    /// A folder, made if it is not there, and the file in it whose lock stands for the whole of it.
    ///
    /// # Errors
    /// Why it cannot be made.
    pub fn new(path: &Path, lock: &str) -> io::Result<Directory> {
        if !path.is_dir() {
            std::fs::create_dir_all(path)?;
            // Its own name too must outlive a loss of power.
            if let Some(above) = path.parent().filter(|above| !above.as_os_str().is_empty()) {
                File::open(above)?.sync_all()?;
            }
        }
        Ok(Directory { path: path.to_owned(), lock: lock.to_owned(), held: None, written: None })
    }

    /// Where a file of it is.
    pub fn path(&self, file: &str) -> PathBuf {
        self.path.join(file)
    }
}

impl Medium for Directory {
    fn lock(&mut self) -> io::Result<bool> {
        let file = File::create(self.path(&self.lock))?;
        match rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => self.held = Some(file),
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
        self.written = None;
        let mut made = File::create(self.path(file))?;
        made.write_all(bytes)?;
        self.written = Some((file.to_owned(), made));
        Ok(())
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        match self.written.take() {
            Some((name, made)) if name == file => made.sync_all(),
            _ => Err(io::Error::other("it was not written last")),
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
