//! Clients: HTTP/1.1 in, one request at a time on a connection, and answers out.

use super::gateway::{Final, Shared, Work};
use super::store::{End, Pull, Reply};
use crate::interface::{Effect, Micros, Request, RequestId};
use may::net::{TcpListener, TcpStream};
use std::io::{self, Read, Write};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant};

/// The largest head, its most fields, and the largest body.
const LARGEST_HEAD: usize = 8 * 1024;
const MOST_FIELDS: usize = 64;
const LARGEST_BODY: usize = 48_000;
const LONGEST_NAME: usize = 256;
/// The longest wait that a client may state.
const LONGEST_WAIT_MS: f64 = 600_000.0;
/// A connection with no byte for this long is closed, and one that takes none.
const IDLE: Duration = Duration::from_secs(20);
const WRITE_STUCK: Duration = Duration::from_secs(10);
/// A request must be whole this long after its first byte, however its bytes drip in.
const SLOWEST: Duration = Duration::from_secs(30);
const NO_DESCRIPTORS: Duration = Duration::from_millis(10);
/// Advice to a refused client where the module gives none, in microseconds. The field holds whole seconds.
const BACKOFF: Micros = 1_000_000;

/// Why a request cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad(u16, &'static str);

/// What a client sent, whole.
#[derive(Debug, PartialEq)]
enum Asked {
    Live,
    Object(Box<Object>),
}

#[derive(Debug, PartialEq, Default)]
struct Object {
    id: u64,
    wait: Micros,
    group: Option<u64>,
    size_kb: f64,
    part: u32,
    pull: Pull,
}

/// A request at the front of a buffer.
#[derive(Debug, PartialEq)]
struct Taken {
    asked: Asked,
    keep_alive: bool,
    used: usize,
}

/// What is still missing.
#[derive(Debug, PartialEq)]
enum Parsed {
    Whole(Taken),
    /// More bytes are to come; the client may wait for a word before it sends its body.
    Partial {
        expects: bool,
    },
}

/// Words that go on as they are, between commas and blanks of the line protocol.
fn plain(text: &str) -> bool {
    let usable = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    !text.is_empty() && text.len() <= LONGEST_NAME && text.bytes().all(usable)
}

/// `/svc/CLASS/OBJECT` with `/block-N` for a part.
fn target(path: &str) -> Result<(&str, &str, Option<u32>), Bad> {
    const BAD: Bad = Bad(404, "the path is not /svc/CLASS/OBJECT/block-N");
    let rest = path.strip_prefix("/svc/").ok_or(BAD)?;
    let mut words = rest.split('/');
    let (Some(class), Some(object)) = (words.next(), words.next()) else { return Err(BAD) };
    let part = match words.next() {
        None => None,
        Some(word) => Some(word.strip_prefix("block-").and_then(|n| n.parse().ok()).ok_or(BAD)?),
    };
    // '=' would end a field's name only, yet commas and blanks would make other fields of the rest.
    if words.next().is_some() || !plain(class) || !plain(object) {
        return Err(BAD);
    }
    Ok((class, object, part))
}

fn number(text: &str, most: f64) -> Option<f64> {
    text.parse::<f64>().ok().filter(|value| value.is_finite() && (0.0..=most).contains(value))
}

/// The one tag that `If-None-Match` names; a list, or `*`, is not passed on.
fn tag(text: &str) -> Option<String> {
    let bare = text.strip_prefix('"')?.strip_suffix('"')?;
    (plain(bare) && !bare.contains('"')).then(|| bare.into())
}

/// Reads a request off the front of a buffer.
fn parse(buffer: &[u8]) -> Result<Parsed, Bad> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let head = match request.parse(buffer) {
        Ok(httparse::Status::Complete(head)) if head <= LARGEST_HEAD => head,
        Ok(httparse::Status::Partial) if buffer.len() <= LARGEST_HEAD => {
            return Ok(Parsed::Partial { expects: false });
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Bad(431, "the head is too large")),
        Err(_) => return Err(Bad(400, "not an HTTP request")),
    };
    let mut keep_alive = request.version == Some(1);
    let (mut length, mut expects) = (0, false);
    let (mut id, mut wait, mut object) = (None, None, Object::default());
    for field in request.headers.iter() {
        let name = field.name.to_ascii_lowercase();
        let text = std::str::from_utf8(field.value).map_err(|_| Bad(400, "a field is not text"))?.trim();
        match name.as_str() {
            "content-length" => {
                length = text.parse::<usize>().map_err(|_| Bad(400, "Content-Length"))?;
            }
            "transfer-encoding" => return Err(Bad(411, "a body needs Content-Length")),
            "connection" => keep_alive &= !text.to_ascii_lowercase().contains("close"),
            "expect" => expects = text.eq_ignore_ascii_case("100-continue"),
            "req-id" => {
                let hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
                let bad = Bad(400, "Req-Id is not 16 hex digits");
                id = Some(u64::from_str_radix(text, 16).ok().filter(|_| hex).ok_or(bad)?);
            }
            "req-wait-ms" => {
                let ms = number(text, LONGEST_WAIT_MS).ok_or(Bad(400, "Req-Wait-Ms"))?;
                wait = Some((ms * 1_000.0) as Micros);
            }
            "req-token" => {
                let token = Some(text).filter(|text| plain(text)).ok_or(Bad(400, "Req-Token"))?;
                object.pull.token = Some(token.into());
            }
            "x-family" => object.group = Some(text.parse().map_err(|_| Bad(400, "X-Family"))?),
            "req-kb" => object.size_kb = number(text, 1e9).ok_or(Bad(400, "Req-Kb"))?,
            "if-none-match" => object.pull.have = tag(text),
            _ => {}
        }
    }
    if length > LARGEST_BODY {
        return Err(Bad(413, "the body is too large"));
    }
    let used = head + length;
    if buffer.len() < used {
        return Ok(Parsed::Partial { expects });
    }
    let path = request.path.unwrap_or_default();
    if path == "/status/live" {
        return Ok(Parsed::Whole(Taken { asked: Asked::Live, keep_alive, used }));
    }
    if !matches!(request.method, Some("GET" | "PUT")) {
        return Err(Bad(405, "the method is not GET or PUT"));
    }
    let (class, name, part) = target(path)?;
    object.id = id.ok_or(Bad(400, "Req-Id is missing"))?;
    object.wait = wait.ok_or(Bad(400, "Req-Wait-Ms is missing"))?;
    object.part = part.unwrap_or(0);
    object.pull.class = class.into();
    object.pull.object = name.into();
    object.pull.part = part.map(|part| part.to_string());
    object.pull.body = buffer[head..used].to_vec();
    Ok(Parsed::Whole(Taken { asked: Asked::Object(Box::new(object)), keep_alive, used }))
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Bad Gateway",
    }
}

/// A whole answer as bytes.
fn answer(status: u16, extra: &str, body: &[u8], close: bool) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n{extra}", reason(status));
    if status != 304 {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    if close {
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    [head.as_bytes(), body].concat()
}

fn refusal(backoff: Option<Micros>, close: bool) -> Vec<u8> {
    let seconds = backoff.unwrap_or(BACKOFF).div_ceil(1_000_000).max(1);
    answer(503, &format!("Retry-After: {seconds}\r\n"), b"", close)
}

fn served(reply: Reply, close: bool) -> Vec<u8> {
    let tag = reply.etag.map_or(String::new(), |tag| format!("ETag: \"{tag}\"\r\n"));
    match reply.end {
        End::Ok(body) => answer(200, &tag, &body, close),
        _ => answer(304, &tag, b"", close),
    }
}

/// Accepts clients for ever. A full table refuses, and never dies.
pub fn listen(shared: &Arc<Shared>, listener: &TcpListener, most: usize) {
    let held = Arc::new(AtomicUsize::new(0));
    loop {
        let mut stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                // No descriptors are left, or a client was gone before it was accepted.
                log::warn!("accept: {e}");
                may::coroutine::sleep(NO_DESCRIPTORS);
                continue;
            }
        };
        let Some(place) = super::Place::take(&held, most) else {
            log::warn!("{most} clients are connected: one more was refused");
            let _ = stream.write_all(&refusal(None, true));
            continue;
        };
        let shared = shared.clone();
        super::spawn(move || {
            let _place = place;
            if let Err(e) = client(&shared, &mut stream) {
                log::debug!("client: {e}");
            }
        });
    }
}

fn client(shared: &Arc<Shared>, stream: &mut TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(IDLE))?;
    stream.set_write_timeout(Some(WRITE_STUCK))?;
    let (mut buffer, mut piece, mut continued) = (Vec::new(), [0; 4 * 1024], false);
    let mut began = Instant::now();
    loop {
        match parse(&buffer) {
            Ok(Parsed::Partial { expects }) => {
                if expects && !std::mem::replace(&mut continued, true) {
                    stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
                }
                if !buffer.is_empty() && began.elapsed() > SLOWEST {
                    stream.write_all(&answer(408, "", b"", true))?;
                    return Ok(());
                }
                let read = stream.read(&mut piece)?;
                if read == 0 {
                    return Ok(());
                }
                if buffer.is_empty() {
                    began = Instant::now();
                }
                buffer.extend_from_slice(&piece[..read]);
            }
            Ok(Parsed::Whole(taken)) => {
                buffer.drain(..taken.used);
                continued = false;
                let close = !taken.keep_alive;
                let _open = shared.taken();
                let Some(bytes) = respond(shared, stream, taken.asked, close) else { return Ok(()) };
                stream.write_all(&bytes)?;
                if close {
                    return Ok(());
                }
            }
            Err(Bad(status, cause)) => {
                log::debug!("client: {cause}");
                stream.write_all(&answer(status, "", cause.as_bytes(), true))?;
                return Ok(());
            }
        }
    }
}

/// The answer to a request. `None`: the client has left.
fn respond(shared: &Arc<Shared>, stream: &TcpStream, asked: Asked, close: bool) -> Option<Vec<u8>> {
    let object = match asked {
        Asked::Live => return Some(answer(200, "", b"live\n", close)),
        Asked::Object(object) => *object,
    };
    let class = shared.names.classes.get(&object.pull.class).copied();
    let Some(known) = class.and_then(|class| shared.settings.classes.get(class)) else {
        return Some(answer(404, "", b"no such class\n", close));
    };
    // Without its key a repeat could not be told from a new request where it runs.
    if matches!(known.effect, Effect::Keyed { .. }) && object.pull.token.is_none() {
        return Some(answer(400, "", b"Req-Token is missing\n", close));
    }
    let request = Request {
        id: RequestId(object.id),
        class,
        budget: object.wait,
        size_kb: object.size_kb,
        object: object.pull.object.clone(),
        part: object.part,
        purge_group: object.group,
        by_name: false,
    };
    Some(match shared.carry(request, &Work::Pull(object.pull), Some(stream)) {
        Final::Served(reply) => served(reply, close),
        Final::Refused(backoff) => refusal(backoff, close),
        Final::Failed | Final::Checked(_) => answer(502, "", b"", close),
        Final::Gone => return None,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const GET: &str = "GET /svc/segment/7f3a/block-3 HTTP/1.1\r\nHost: x\r\nReq-Id: 9b1f03aa5c7e2d41\r\nReq-Wait-Ms: 1500\r\n";

    #[test]
    fn a_request_is_taken_only_once_it_is_whole() {
        let text = GET.replace("GET", "PUT")
            + "X-Family: 17\r\nReq-Kb: 412.5\r\nReq-Token: t1\r\nIf-None-Match: \"4be\"\r\nContent-Length: 3\r\n\r\na\nb";
        for cut in 0..text.len() {
            assert!(matches!(parse(&text.as_bytes()[..cut]), Ok(Parsed::Partial { .. })), "cut at {cut}");
        }
        let Ok(Parsed::Whole(taken)) = parse((text.clone() + "GET").as_bytes()) else { panic!() };
        assert_eq!((taken.used, taken.keep_alive), (text.len(), true));
        let some = |text: &str| Some(text.to_string());
        let pull = Pull {
            class: "segment".into(),
            object: "7f3a".into(),
            part: some("3"),
            token: some("t1"),
            have: some("4be"),
            body: b"a\nb".to_vec(),
        };
        let object = Object {
            id: 0x9b1f_03aa_5c7e_2d41,
            wait: 1_500_000,
            group: Some(17),
            size_kb: 412.5,
            part: 3,
            pull,
        };
        assert_eq!(taken.asked, Asked::Object(Box::new(object)));
    }

    #[rstest]
    #[case::no_http("hello\r\n\r\n", 400)]
    #[case::short_id(&GET.replace("9b1f03aa5c7e2d41", "9b1f"), 400)]
    #[case::signed_id(&GET.replace("9b1f03aa5c7e2d41", "+b1f03aa5c7e2d41"), 400)]
    #[case::no_wait(&GET.replace("Req-Wait-Ms", "Other"), 400)]
    #[case::endless_wait(&GET.replace("1500", "inf"), 400)]
    #[case::negative_wait(&GET.replace("1500", "-1"), 400)]
    #[case::other_path(&GET.replace("/svc/", "/x/"), 404)]
    #[case::no_part_number(&GET.replace("block-3", "block-x"), 404)]
    #[case::a_comma_would_forge_a_field(&GET.replace("7f3a", "7f,src=s-1"), 404)]
    #[case::method(&GET.replace("GET", "POST"), 405)]
    #[case::chunked(&(GET.to_string() + "Transfer-Encoding: chunked\r\n"), 411)]
    #[case::large_body(&(GET.to_string() + "Content-Length: 48001\r\n"), 413)]
    #[case::large_head(&(GET.to_string() + "A: " + &"a".repeat(9000)), 431)]
    #[case::token_with_comma(&(GET.to_string() + "Req-Token: a,b\r\n"), 400)]
    fn bad_requests_are_told_why(#[case] text: &str, #[case] status: u16) {
        let Err(Bad(got, _)) = parse((text.to_string() + "\r\n").as_bytes()) else { panic!("taken") };
        assert_eq!(got, status);
    }

    #[rstest]
    #[case(None, "1")]
    #[case(Some(200_000), "1")]
    #[case(Some(1_200_000), "2")]
    fn a_refusal_tells_when_to_come_back(#[case] backoff: Option<Micros>, #[case] seconds: &str) {
        let text = String::from_utf8(refusal(backoff, false)).unwrap();
        assert!(text.starts_with("HTTP/1.1 503 "));
        assert!(text.contains(&format!("Retry-After: {seconds}\r\n")));
    }
}
