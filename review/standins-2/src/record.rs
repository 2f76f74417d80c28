//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: &Path) -> io::Result<Self> {
        Ok(Self {
            begun: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Writes a line with the time since the start, in seconds.
    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}
