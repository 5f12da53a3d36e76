//! Whether and how a query is answered.

use super::name::{QueriedName, parse_name};
use super::resolver::{ObjectName, Resolver};
use crate::interface::Idempotency;
use crate::net::snapshot::Snapshot;
use crate::settings::Deployment;
use hickory_proto::op::{Message, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, RecordType};
use sagearch_identity::Caller;
use sagearch_operators::fronts::Routes;
use std::net::IpAddr;
use std::sync::Arc;

/// How a query is answered.
#[derive(Debug, PartialEq)]
pub(super) enum Decision {
    /// With this response code and no data.
    Code(ResponseCode),
    /// The name exists, and has no data of the type that is asked for.
    NoData,
    /// With the gateway's own address.
    OwnAddress,
    /// With the address of an endpoint that is to be looked up.
    Resolve { name: ObjectName, caller: Arc<Caller> },
}

/// What the routes say of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientRule {
    /// It is not answered.
    Refused,
    /// It gets the addresses of endpoints.
    EndpointAddress,
    /// It gets the gateway's own address, as it ignores lifetimes.
    OwnAddress,
}

impl Resolver {
    /// Decides how a query is answered, by its form, its client and the name that it asks for. `rule` is what the routes say
    /// of the client; `None`: it is not known.
    pub(super) fn decide(
        &self,
        query: &Message,
        client: IpAddr,
        rule: Option<ClientRule>,
        snapshot: &Snapshot,
    ) -> Decision {
        let question = match supported_question(query) {
            Ok(question) => question,
            Err(code) => return Decision::Code(code),
        };
        let Some(rule) = rule else {
            return Decision::Code(ResponseCode::ServFail);
        };
        if rule == ClientRule::Refused {
            return Decision::Code(ResponseCode::Refused);
        }
        if question.query_class() != DNSClass::IN {
            return Decision::Code(ResponseCode::Refused);
        }
        // A client that belongs to no tenant must not learn which names exist.
        if !self.service.guard().admission.knows_network(client) {
            return Decision::Code(ResponseCode::Refused);
        }
        // A refusal sends the client to the gateway that its resolver asks next.
        if self.service.is_drained() {
            return Decision::Code(ResponseCode::Refused);
        }
        let class_index = |name: &str| snapshot.deployment.names.classes.get(name).copied();
        match parse_name(question.name(), &self.domain, class_index) {
            QueriedName::OutOfDomain => Decision::Code(ResponseCode::Refused),
            QueriedName::Unknown => Decision::Code(ResponseCode::NXDomain),
            QueriedName::NoAddress => Decision::NoData,
            QueriedName::Object(name) => self.decide_object(name, question, rule, client, snapshot),
        }
    }

    /// Decides how a query for an object is answered.
    fn decide_object(
        &self,
        name: ObjectName,
        question: &Query,
        rule: ClientRule,
        client: IpAddr,
        snapshot: &Snapshot,
    ) -> Decision {
        let class = &snapshot.deployment.settings.classes[name.class];
        // A request that must not run twice is served by HTTP alone, where the gateway sees each attempt.
        if class.idempotency != Idempotency::Idempotent || class.uncacheable {
            return Decision::Code(ResponseCode::Refused);
        }
        let Ok(caller) = self.service.guard().admission.admit_network(client, &class.name, &name.object)
        else {
            return Decision::Code(ResponseCode::Refused);
        };
        if question.query_type() != RecordType::A {
            Decision::NoData
        } else if rule == ClientRule::OwnAddress {
            // The client would keep the address of an endpoint that drains; that of the gateway stays valid.
            Decision::OwnAddress
        } else {
            Decision::Resolve { name, caller }
        }
    }
}

/// The one question of a query that can be answered, or the response code for one that can't.
fn supported_question(query: &Message) -> Result<&Query, ResponseCode> {
    let [question] = query.queries() else { return Err(ResponseCode::FormErr) };
    if query.op_code() != OpCode::Query {
        return Err(ResponseCode::NotImp);
    }
    if query.extensions().as_ref().is_some_and(|edns| edns.version() > 0) {
        return Err(ResponseCode::BADVERS);
    }
    Ok(question)
}

/// What the routes say of a client. Clients of other zones are served by other gateways.
pub(super) fn client_rule(client: IpAddr, routes: &Routes, deployment: &Deployment) -> ClientRule {
    let Some(source) = routes.sources.iter().find(|source| source.contains(client)) else {
        return ClientRule::Refused;
    };
    if deployment.names.zones.get(&source.zone) != Some(&deployment.settings.zone) {
        ClientRule::Refused
    } else if source.ignores_lifetimes {
        ClientRule::OwnAddress
    } else {
        ClientRule::EndpointAddress
    }
}
