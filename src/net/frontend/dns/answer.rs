//! Answers, and how they are encoded.

use hickory_proto::op::{Edns, Header, Message, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA};
use hickory_proto::rr::{Name, RData, Record};
use std::net::{IpAddr, Ipv4Addr};

/// How many bytes an answer by UDP may have where the client states nothing (RFC 1035, section 4.2.1).
pub(super) const DEFAULT_UDP_PAYLOAD: u16 = 512;
/// How many bytes an answer by UDP has at most, whatever the client states (RFC 9715, section 3).
pub(super) const MAX_UDP_PAYLOAD: u16 = 1_232;
/// Answers are not to be cached.
const TIME_TO_LIVE: u32 = 0;
/// The serial number of the zone, which is never transferred.
const ZONE_SERIAL: u32 = 1;
/// The zone's refresh, retry and expiry times in seconds, which only matter to transfers.
const ZONE_TRANSFER_SECONDS: i32 = 60;

/// Makes the answer to one query.
pub(super) struct ReplyWriter<'a> {
    /// The domain under which names are answered.
    pub(super) domain: &'a Name,
    pub(super) query: &'a Message,
}

impl ReplyWriter<'_> {
    /// The answer with an address; one without data for an IPv6 address, and a failure for none.
    pub(super) fn with_address(&self, address: Option<IpAddr>) -> Message {
        match address {
            Some(IpAddr::V4(ip)) => self.write(ResponseCode::NoError, Some(ip)),
            Some(IpAddr::V6(_)) => self.write(ResponseCode::NoError, None),
            None => self.write(ResponseCode::ServFail, None),
        }
    }

    /// The answer without data.
    pub(super) fn without_address(&self, code: ResponseCode) -> Message {
        self.write(code, None)
    }

    fn write(&self, code: ResponseCode, address: Option<Ipv4Addr>) -> Message {
        let is_authoritative = matches!(code, ResponseCode::NoError | ResponseCode::NXDomain);
        let mut header = Header::response_from_request(self.query.header());
        header.set_response_code(code);
        header.set_authoritative(is_authoritative);
        let mut reply = Message::new();
        reply.set_header(header);
        reply.add_queries(self.query.queries().iter().cloned());
        if self.query.extensions().is_some() {
            let mut edns = Edns::new();
            edns.set_max_payload(MAX_UDP_PAYLOAD);
            edns.set_rcode_high(code.high());
            reply.set_edns(edns);
        }
        match (address, self.query.queries().first()) {
            (Some(ip), Some(question)) => {
                let record = Record::from_rdata(question.name().clone(), TIME_TO_LIVE, RData::A(A(ip)));
                reply.add_answer(record);
            }
            _ if is_authoritative => {
                reply.add_name_server(self.start_of_authority());
            }
            _ => {}
        }
        reply
    }

    /// The record of the zone. A negative answer is cached for as long as it says (RFC 2308, section 5).
    fn start_of_authority(&self) -> Record {
        let zone = SOA::new(
            self.domain.clone(),
            self.domain.clone(),
            ZONE_SERIAL,
            ZONE_TRANSFER_SECONDS,
            ZONE_TRANSFER_SECONDS,
            ZONE_TRANSFER_SECONDS,
            TIME_TO_LIVE,
        );
        Record::from_rdata(self.domain.clone(), TIME_TO_LIVE, RData::SOA(zone))
    }
}

/// How many bytes the answer to a query may have by UDP.
pub(super) fn max_udp_payload(query: &Message) -> usize {
    let payload = query
        .extensions()
        .as_ref()
        .map_or(DEFAULT_UDP_PAYLOAD, |edns| edns.max_payload().clamp(DEFAULT_UDP_PAYLOAD, MAX_UDP_PAYLOAD));
    usize::from(payload)
}

/// The bytes of an answer. One that is too large is truncated to its question, with the flag that says so.
pub(super) fn encode_within(reply: &Message, max_bytes: usize) -> Option<Vec<u8>> {
    let bytes = reply.to_vec().ok()?;
    if bytes.len() <= max_bytes { Some(bytes) } else { reply.truncate().to_vec().ok() }
}
