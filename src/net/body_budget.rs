//! Bounds the memory of all bodies that this process is reading.

use std::sync::atomic::{AtomicUsize, Ordering};

/// The bytes of bodies that are being read in this process.
static HELD_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The most bytes of all bodies that are being read. The smallest instances have 120 MB.
pub(super) const MAX_HELD_BYTES: usize = 32 * 1024 * 1024;

/// The bytes of one body while it is read, until this is dropped.
pub(super) struct BodyHold {
    bytes: usize,
    is_complete: bool,
    /// What the peer is, as a label of metrics.
    role: &'static str,
}

impl BodyHold {
    /// Of a body of which nothing has been read.
    pub(super) fn open(role: &'static str) -> Self {
        Self {
            bytes: 0,
            is_complete: false,
            role,
        }
    }

    /// Counts further bytes. Returns false if all bodies would be too large with them.
    pub(super) fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        HELD_BYTES.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_HELD_BYTES
    }

    /// The body was read to its end.
    pub(super) fn complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        HELD_BYTES.fetch_sub(self.bytes, Ordering::Relaxed);
        if !self.is_complete && self.bytes > 0 {
            metrics::counter!("redwing_incomplete_body_bytes_total", "role" => self.role)
                .increment(self.bytes as u64);
        }
    }
}
