//! Writes the frames that are queued for one node.

use {
    super::{Link, Outgoing},
    bytes::BytesMut,
    tokio::{io::AsyncWriteExt, net::tcp::OwnedWriteHalf, sync::mpsc},
};

/// Maximum number of frames written with one call.
const WRITE_FRAMES_MAX: usize = 64;

/// Maximum size in bytes of a frame that is joined with others for one call.
const JOINED_BYTES_MAX: usize = 64 * 1024;

/// Guard of bytes that were taken from the queue. They leave its count when they are written.
struct Dequeued<'a> {
    bytes: usize,
    link: &'a Link,
}

impl Drop for Dequeued<'_> {
    fn drop(&mut self) {
        let queued = &self.link.queued_bytes;
        queued.set(queued.get().saturating_sub(self.bytes));
        self.link.dequeued.notify_waiters();
    }
}

/// Writes the frames of a queue until the connection fails or the queue is closed.
pub(super) async fn run(
    link: &Link,
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::UnboundedReceiver<Outgoing>,
) {
    let mut batch = Vec::new();
    let mut bytes = BytesMut::new();
    loop {
        if queue.recv_many(&mut batch, WRITE_FRAMES_MAX).await == 0 {
            return;
        }
        bytes.clear();
        let mut joined = Vec::new();
        for outgoing in batch.drain(..) {
            let dequeued = Dequeued {
                bytes: outgoing.bytes.len(),
                link,
            };
            if let Some(stream) = outgoing.stream {
                match link.pending.borrow_mut().get_mut(&stream) {
                    Some(pending) => pending.sent = true,
                    // The request was cancelled before any byte of it was written.
                    None => continue,
                }
            }
            if outgoing.bytes.len() <= JOINED_BYTES_MAX {
                bytes.extend_from_slice(&outgoing.bytes);
                joined.push(dequeued);
                continue;
            }
            // A large frame is written from where it is, as a copy would double its memory.
            for part in [&bytes[..], &outgoing.bytes[..]] {
                if writer.write_all(part).await.is_err() {
                    return;
                }
            }
            bytes.clear();
            joined.clear();
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
