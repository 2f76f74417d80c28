//! The record of a script: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn open(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer panics");
        let seconds = self.start.elapsed().as_secs_f64();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
