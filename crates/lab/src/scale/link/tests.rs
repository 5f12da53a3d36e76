//! Links pass bytes on, hold them back while a way is closed, and read acknowledgements in passing.

use super::*;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::a_poll("GET /bus/read?from=17&hold=1000 HTTP/1.1\r\n\r\n", Some(17))]
#[case::with_more_words("GET /bus/read?from=9&hold=500&feed=a&name=g1 HTTP/1.1\r\n\r\n", Some(9))]
#[case::something_else("GET /feed/report HTTP/1.1\r\n\r\n", None)]
#[case::no_number("GET /bus/read?from=&hold=1 HTTP/1.1\r\n\r\n", None)]
fn a_poll_says_what_it_acknowledges(#[case] text: &str, #[case] offset: Option<u64>) {
    assert_eq!(acknowledged_by(text.as_bytes()), offset);
}

/// Answers each read with the same bytes.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut piece = [0; 1_024];
                while let Ok(read) = stream.read(&mut piece).await
                    && read > 0
                {
                    stream.write_all(&piece[..read]).await.unwrap();
                }
            });
        }
    });
    at
}

#[tokio::test]
async fn a_closed_way_holds_back_and_an_open_one_passes_on() {
    let (links, watched) = (Links::default(), Arc::new(Watched::default()));
    let at = links.open(echo().await, Some(watched.clone())).await.unwrap();
    let mut stream = TcpStream::connect(at).await.unwrap();
    let poll = b"GET /bus/read?from=5&hold=1 HTTP/1.1\r\n\r\n";
    let mut answer = vec![0; poll.len()];
    stream.write_all(poll).await.unwrap();
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, poll);
    links.set(Passing { up: true, down: false });
    stream.write_all(poll).await.unwrap();
    let held = tokio::time::timeout(Duration::from_millis(100), stream.read_exact(&mut answer)).await;
    assert!(held.is_err(), "nothing comes down");
    links.set(Passing::ALL);
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!((watched.steps().len(), watched.requests.load(Ordering::Relaxed)), (1, 2));
    assert_eq!(watched.bytes_down.load(Ordering::Relaxed), 2 * poll.len() as u64);
}
