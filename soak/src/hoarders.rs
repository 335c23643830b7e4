//! Callers that send large bodies, stop just short of their ends and keep their connections open. Their requests never run, so
//! the ledger has none of them; the nodes have to keep to their memory and serve the others.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet, time::timeout},
};

/// Number of callers at one node.
const CALLERS: usize = 24;
/// Size of a body, in bytes.
const BODY_BYTES: usize = 6 * 1024 * 1024;
/// Size of a chunk, for every other caller.
const CHUNK_BYTES: usize = 16 * 1024;

/// Sends bodies and keeps them back for a time.
pub async fn hold(callers: SocketAddr, time: Duration) {
    let mut holding = JoinSet::new();
    for number in 0..CALLERS {
        holding.spawn_local(async move {
            let mut stream = TcpStream::connect(callers).await.ok()?;
            // The node may close the connection.
            let _ = stream.write_all(&request(number)).await;
            std::future::pending::<Option<()>>().await
        });
    }
    // All connections are closed when the time is over.
    let _ = timeout(time, holding.join_all()).await;
}

/// Returns a request without the last byte of its body, or without the chunk that ends it.
fn request(number: usize) -> Vec<u8> {
    let is_sized = number.is_multiple_of(2);
    let framing = if is_sized {
        format!("Content-Length: {BODY_BYTES}")
    } else {
        "Transfer-Encoding: chunked".into()
    };
    let head = format!(
        "POST /reserve/7 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: hoard-{number}\r\n{framing}\r\n\r\n"
    );
    let body = if is_sized {
        vec![b'h'; BODY_BYTES - 1]
    } else {
        let size = format!("{CHUNK_BYTES:x}\r\n");
        let chunk = [size.as_bytes(), &[b'h'; CHUNK_BYTES], b"\r\n"].concat();
        chunk.repeat(BODY_BYTES / CHUNK_BYTES)
    };
    [head.as_bytes(), &body].concat()
}
