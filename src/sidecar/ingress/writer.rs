//! Writes the responses to one caller in the order of its requests, and reports how fast it reads them.

use {
    super::{Connection, EncodedResponse, Item},
    crate::sidecar::node::Core,
    bytes::{Buf, Bytes, BytesMut},
    std::rc::Rc,
    tokio::{io::AsyncWriteExt, net::tcp::OwnedWriteHalf, sync::mpsc},
};

const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Writes responses until the last one, or until the connection has to be closed. It is reset then, as the system would
/// otherwise keep what it has buffered for a caller that does not read.
pub(super) async fn run(
    core: Rc<Core>,
    connection: Rc<Connection>,
    mut writer: OwnedWriteHalf,
    items: mpsc::Receiver<Item>,
) {
    let closed = tokio::select! {
        biased;
        () = connection.open.closed() => true,
        () = write_responses(&core, &connection, &mut writer, items) => false,
    };
    if closed {
        // Without the reset the connection is closed all the same.
        let _ = writer.as_ref().set_zero_linger();
    }
}

async fn write_responses(
    core: &Core,
    connection: &Connection,
    writer: &mut OwnedWriteHalf,
    mut items: mpsc::Receiver<Item>,
) {
    let mut response_count = 0;
    while let Some(item) = items.recv().await {
        let Item::Response(response, guard) = item else {
            if writer.write_all(CONTINUE_RESPONSE).await.is_err() {
                return;
            }
            continue;
        };
        let Ok(mut encoded) = response.await else {
            return;
        };
        response_count += 1;
        let last = connection.request_count.get() == response_count;
        let stopping = core.stopping.get().is_some();
        let close = encoded.close || (stopping && last);
        if close {
            connection.closing.set(true);
            encoded.head = with_connection_close(&encoded.head);
        }
        let written = write(core, connection, writer, encoded).await;
        drop(guard);
        if written.is_err() || close {
            // The connection ends even if the shutdown fails.
            let _ = writer.shutdown().await;
            return;
        }
    }
}

async fn write(
    core: &Core,
    connection: &Connection,
    writer: &mut OwnedWriteHalf,
    encoded: EncodedResponse,
) -> std::io::Result<()> {
    connection.open.begin_writing(core.now());
    let mut bytes = encoded.head.chain(encoded.body);
    while bytes.has_remaining() {
        let written = writer.write_buf(&mut bytes).await?;
        if written == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        connection.open.record_written(core.now(), written);
    }
    Ok(())
}

/// Returns the head of a response with a `Connection: close` header added.
fn with_connection_close(head: &Bytes) -> Bytes {
    let Some(fields) = head.strip_suffix(b"\r\n") else {
        return head.clone();
    };
    let mut changed = BytesMut::with_capacity(head.len() + 32);
    changed.extend_from_slice(fields);
    changed.extend_from_slice(b"Connection: close\r\n\r\n");
    changed.freeze()
}
