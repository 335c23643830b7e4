//! Tests of the byte stream to an upstream that closes before it has read everything.

use {
    mulberryshelf::proxy::stream::Stream,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const ANSWER: &[u8] = b"HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n";

/// Starts an upstream that answers after the first bytes of a request and closes with the rest unread, which resets
/// the connection.
async fn resetting_upstream(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_exact(&mut [0; 10]).await.unwrap();
        stream.write_all(answer).await.unwrap();
    });
    address
}

/// Writes a request in two parts, the second one after the connection was reset, and returns what can be read then.
async fn read_after_reset(answer: &'static [u8]) -> (std::io::Result<usize>, Vec<u8>) {
    let mut stream = Stream::connect(resetting_upstream(answer).await)
        .await
        .unwrap();
    stream.write_all(&[b'x'; 20]).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    stream.write_all(b"the rest").await.unwrap();
    stream.flush().await.unwrap();
    let mut received = vec![0; 100];
    let read = stream.read(&mut received).await;
    received.truncate(*read.as_ref().unwrap_or(&0));
    (read, received)
}

#[tokio::test]
async fn answer_that_precedes_a_reset_is_read_after_a_failed_write() {
    let (_, received) = read_after_reset(ANSWER).await;
    assert_eq!(received, ANSWER);
}

#[tokio::test]
async fn reset_without_an_answer_ends_the_stream() {
    let (read, received) = read_after_reset(b"").await;
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
    assert!(received.is_empty());
}
