//! Reading and writing of the parts of a request on a QUIC stream. Each part is preceded by its
//! length in bytes, as a big-endian integer.

use {
    crate::wire::{self, PART_BYTES_MAX, Part},
    quinn::{RecvStream, SendStream},
    std::io,
};

const LENGTH_BYTES: usize = 4;

/// Writes one part.
///
/// # Errors
/// Returns an error if the connection is lost or the peer has stopped reading.
pub async fn write(stream: &mut SendStream, part: &Part) -> io::Result<()> {
    let bytes = wire::encode(part).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    let mut framed = Vec::with_capacity(LENGTH_BYTES + bytes.len());
    framed.extend_from_slice(&length.to_be_bytes());
    framed.extend_from_slice(&bytes);
    stream.write_all(&framed).await?;
    Ok(())
}

/// Reads one part.
///
/// # Errors
/// Returns an error if the stream ends, or if what it holds is malformed or longer than
/// [`PART_BYTES_MAX`].
pub async fn read(stream: &mut RecvStream) -> io::Result<Part> {
    let mut length = [0; LENGTH_BYTES];
    stream
        .read_exact(&mut length)
        .await
        .map_err(io::Error::other)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > PART_BYTES_MAX {
        return Err(io::Error::other("the part exceeds the maximum length"));
    }
    let mut bytes = vec![0; length];
    stream
        .read_exact(&mut bytes)
        .await
        .map_err(io::Error::other)?;
    wire::decode(&bytes).map_err(io::Error::other)
}
