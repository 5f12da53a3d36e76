//! Asks a gateway whether it is there.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long a gateway may take to answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
const REQUEST: &[u8] = b"GET /status/live HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
/// The begin of the answer of one that is there.
const LIVE: &[u8; 12] = b"HTTP/1.1 200";

/// Whether a gateway says that it is there.
pub async fn is_live(at: std::net::SocketAddr) -> bool {
    let exchange = async {
        let mut stream = TcpStream::connect(at).await?;
        stream.write_all(REQUEST).await?;
        let mut answer = [0; LIVE.len()];
        stream.read_exact(&mut answer).await?;
        io::Result::Ok(&answer == LIVE)
    };
    matches!(tokio::time::timeout(ANSWER_WITHIN, exchange).await, Ok(Ok(true)))
}
