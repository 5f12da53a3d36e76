use super::*;
use rstest::rstest;

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiX", "hi", true, 1)]
#[case::chunked(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n",
    "hi",
    true,
    0
)]
#[case::until_end_of_stream("HTTP/1.0 200 OK\r\n\r\nhi", "hi", false, 0)]
#[case::connection_close(
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
    "hi",
    false,
    0
)]
fn response_received_byte_by_byte_is_read_completely(
    #[case] text: &str,
    #[case] body: &str,
    #[case] keep_alive: bool,
    #[case] unread_bytes: usize,
) {
    struct OneByteReader<'a>(&'a [u8]);
    impl Read for OneByteReader<'_> {
        fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
            let Some((first, rest)) = self.0.split_first() else { return Ok(0) };
            (buffer[0], self.0) = (*first, rest);
            Ok(1)
        }
    }
    let mut stream = OneByteReader(text.as_bytes());
    let response = read_ok_response(&mut stream, &mut Vec::new()).unwrap();
    let received = String::from_utf8(response.body).unwrap();
    assert_eq!((received.as_str(), response.keep_alive, stream.0.len()), (body, keep_alive, unread_bytes));
}

#[rstest]
#[case::status("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")]
#[case::truncated_body("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")]
#[case::not_http("yes\r\n\r\n")]
#[case::huge_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffff\r\n")]
fn invalid_response_is_an_error(#[case] text: &str) {
    assert!(read_ok_response(&mut text.as_bytes(), &mut Vec::new()).is_err());
}
