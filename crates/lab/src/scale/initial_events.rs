//! The events up to now, which a gateway is given at its start, by a call of the event bus.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
const BUFFER_BYTES: usize = 64 * 1024;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// A batch without events, for gateways whose feed brings all of them.
pub const NO_EVENTS: &str = r#"{"offset":0,"batch":[]}"#;

/// Fetches the events up to now as JSON.
///
/// # Errors
///
/// Where the bus can't be reached or closes the connection.
pub fn fetch(bus: SocketAddr) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&bus, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(b"GET /bus/known HTTP/1.1\r\nHost: bus\r\n\r\n")?;
    let mut response = Vec::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        if let Some(body) = complete_body(&response) {
            return Ok(body.to_vec());
        }
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => response.extend_from_slice(&buffer[..read]),
        }
    }
}

/// The body of a response. `None`: it is not complete yet.
fn complete_body(response: &[u8]) -> Option<&[u8]> {
    let end_of_head = response.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD)?;
    let body = end_of_head + END_OF_HEAD.len();
    let head = std::str::from_utf8(&response[..body]).ok()?;
    let (_, length) = head.split_once("Content-Length: ")?;
    let length: usize = length.lines().next()?.trim().parse().ok()?;
    response.get(body..body + length)
}
