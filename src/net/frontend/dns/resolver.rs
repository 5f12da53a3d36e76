//! From a query to its answer.

use super::answer::{self, ReplyWriter};
use super::question::{ClientRule, Decision, client_rule};
use crate::interface::{Request, RequestId};
use crate::net::Permit;
use crate::net::service::{RequestEnd, Service, Work};
use crate::net::snapshot::Snapshot;
use hickory_proto::op::{Message, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::Name;
use sagearch_identity::Caller;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// How many look-ups may be in flight where the operators state no limit; beyond that they are refused.
const MAX_LOOKUPS: usize = 128;
/// The bytes of a DNS header (RFC 1035, section 4.1.1).
const HEADER_BYTES: usize = 12;
/// The bit of a header's third byte that marks a response.
const RESPONSE_FLAG: u8 = 0x80;
/// Distinguishes ids of look-ups from the other random numbers of the same seed.
const ID_SEED: u64 = 0x5eed_0fd0_0e5a_11d5;
/// The step between ids of look-ups: odd, so that they repeat only after 2^64 of them, and large, so that they spread.
const ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// By which protocol a query came.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Transport {
    Udp,
    Tcp,
}

/// An object that is looked up.
#[derive(Debug, PartialEq)]
pub(super) struct ObjectName {
    /// The index of its class in the settings.
    pub(super) class: usize,
    pub(super) object: String,
    /// Which part of it; 0 where the name states none.
    pub(super) part: u32,
}

/// Answers queries.
pub(super) struct Resolver {
    pub(super) service: Arc<dyn Service>,
    /// The domain under which names are answered.
    pub(super) domain: Name,
    /// The gateway's own address.
    gateway: IpAddr,
    next_id: AtomicU64,
    /// How many look-ups are in flight.
    lookups: Arc<AtomicUsize>,
}

impl Resolver {
    pub(super) fn new(service: Arc<dyn Service>, domain: Name, gateway: IpAddr, seed: u64) -> Resolver {
        Resolver {
            service,
            domain,
            gateway,
            next_id: AtomicU64::new(seed ^ ID_SEED),
            lookups: Arc::default(),
        }
    }

    /// The answer to the bytes of a query. `None`: it gets none, as it is a response itself or has no complete header.
    pub(super) fn answer(&self, bytes: &[u8], client: IpAddr, transport: Transport) -> Option<Vec<u8>> {
        let query = match Message::from_vec(bytes) {
            Ok(query) if query.message_type() == MessageType::Response => return None,
            Ok(query) => query,
            Err(_) => return answer_malformed(bytes),
        };
        let snapshot = self.service.snapshot();
        let writer = ReplyWriter { domain: &self.domain, query: &query };
        let rule = self.client_rule(client, &snapshot);
        let mut reply = match self.decide(&query, client, rule, &snapshot) {
            Decision::Code(code) => writer.without_address(code),
            Decision::NoData => writer.without_address(ResponseCode::NoError),
            Decision::OwnAddress => writer.with_address(Some(self.gateway)),
            Decision::Resolve { name, caller } => writer.with_address(self.look_up(name, &caller, &snapshot)),
        };
        // Other routes may have come into force during the look-up, or during a pause of the process.
        if self.client_rule(client, &snapshot) != rule {
            reply = writer.without_address(ResponseCode::ServFail);
        }
        let max_bytes = match transport {
            Transport::Udp => answer::max_udp_payload(&query),
            Transport::Tcp => usize::from(u16::MAX),
        };
        answer::encode_within(&reply, max_bytes)
    }

    /// What the routes in force say of a client; `None` if this gateway does not know it.
    fn client_rule(&self, client: IpAddr, snapshot: &Snapshot) -> Option<ClientRule> {
        let routes = self.service.routes(snapshot)?;
        routes.agree_on(|routes| client_rule(client, routes, &snapshot.deployment))
    }

    /// Serves a look-up as a request of the core. `None`: it was refused, failed, or ran into its deadline.
    fn look_up(&self, name: ObjectName, caller: &Arc<Caller>, snapshot: &Snapshot) -> Option<IpAddr> {
        let max_lookups = snapshot.limits.map_or(MAX_LOOKUPS, |limits| limits.lookups);
        let deadline_ms = self.service.routes(snapshot)?.newest().deadline_ms;
        let _permit = Permit::take(&self.lookups, max_lookups)?;
        let _open = self.service.count_open_request();
        let request = Request {
            id: RequestId(self.next_id.fetch_add(ID_STEP, Ordering::SeqCst)),
            class: Some(name.class),
            timeout: deadline_ms * 1_000,
            object: name.object,
            part: name.part,
            is_lookup: true,
            ..Request::default()
        };
        let end = self.service.execute(request, caller, &Work::Check, None);
        if self.service.guard().version.requires_admission() {
            self.service.guard().metrics.ended(caller, end.label());
        }
        match end {
            RequestEnd::Checked(planned) => self.service.address(planned.member).map(|address| address.ip()),
            _ => None,
        }
    }
}

/// The answer to bytes that are no query, under the id of their header. `None`: they have no complete header, or are
/// marked as a response.
fn answer_malformed(bytes: &[u8]) -> Option<Vec<u8>> {
    let [id_high, id_low, flags] = *bytes.first_chunk()?;
    if bytes.len() < HEADER_BYTES || flags & RESPONSE_FLAG != 0 {
        return None;
    }
    let id = u16::from_be_bytes([id_high, id_low]);
    Message::error_msg(id, OpCode::Query, ResponseCode::FormErr).to_vec().ok()
}
