use super::*;
use rstest::rstest;
use sagearch_homes::message::{KnownEpoch, MAX_CLAIMS, MAX_DENIALS, MAX_SLICES};
use sagearch_homes::{ClaimStatus, Region};

const LAST_SLICE: Slice = Slice(4_095);
const LARGE_CLAIM: Claim = Claim {
    term: 1 << 40,
    region: Region(31),
    epoch: Epoch(1 << 53),
    incarnation: Incarnation(1 << 53),
    handed_over: true,
};

fn largest_claims() -> Claims {
    Claims(vec![ClaimStatus { slice: LAST_SLICE, claim: LARGE_CLAIM, age: Some(100_000) }; MAX_CLAIMS])
}

/// The numbers are as large as they can become within some hundred years.
#[rstest]
#[case::alive(Body::Alive(vec![7; MAX_GOSSIP_BYTES]))]
#[case::request(Body::Lease(LeaseMessage::Request { round: u32::MAX, epoch: Epoch(1 << 53), slices: vec![LAST_SLICE; MAX_SLICES] }))]
#[case::granted(Body::Lease(LeaseMessage::Granted {
    to: Incarnation(1 << 53), round: u32::MAX, epoch: Epoch(1 << 53), slices: vec![LAST_SLICE; MAX_SLICES]
}))]
#[case::denied(Body::Lease(LeaseMessage::Denied { round: u32::MAX, known: vec![KnownEpoch { slice: LAST_SLICE, epoch: Epoch(1 << 53) }; MAX_DENIALS] }))]
#[case::fence(Body::Fence(largest_claims()))]
#[case::claims(Body::Remote { from: 999, incarnation: Incarnation(1 << 53), forwarded: true, message: RemoteMessage::Claims(largest_claims()) })]
#[case::transfer_granted(Body::Remote { from: 999, incarnation: Incarnation(1 << 53), forwarded: true, message: RemoteMessage::RateTransferGranted(RateTransfer {
    budget: 9, number: u32::MAX, claim: LARGE_CLAIM, rate: Amount::from_thousandths(u64::MAX), issued: Amount::from_thousandths(u64::MAX)
}) })]
#[case::grant(Body::Grant {
    budget: 9,
    authority: GrantAuthority { slice: LAST_SLICE, epoch: Epoch(1 << 53), claim: Some(LARGE_CLAIM) },
    grant: Grant { to: 1 << 53, number: u32::MAX, amount: Amount::from_thousandths(u64::MAX) },
})]
fn largest_datagram_of_each_kind_fits_and_decodes(#[case] body: Body) {
    let bytes = encode(7, Incarnation(1 << 53), body.clone()).unwrap();
    assert_eq!(decode(7, &bytes).unwrap().body, body);
    assert_eq!(decode(8, &bytes), Err(DatagramError::OtherFleet));
    assert_eq!(decode(7, &bytes[..bytes.len() - 1]), Err(DatagramError::Malformed));
    let mut longer = bytes.clone();
    longer.push(0);
    assert!(decode(7, &longer).is_err());
    let mut other_version = bytes;
    other_version[0] = 2;
    assert_eq!(decode(7, &other_version), Err(DatagramError::OtherVersion));
}

const SMALL_CLAIM: Claim =
    Claim { term: 3, region: Region(5), epoch: Epoch(6), incarnation: Incarnation(8), handed_over: true };

/// Gateways that run different versions of this program exchange datagrams, so the bytes must not change unless `VERSION`
/// does.
#[rstest]
#[case::alive(Body::Alive(vec![7, 8]), &[0, 2, 7, 8])]
#[case::request_lease(Body::Lease(LeaseMessage::Request { round: 2, epoch: Epoch(300), slices: vec![Slice(4)] }), &[1, 0, 2, 172, 2, 1, 4])]
#[case::granted(Body::Lease(LeaseMessage::Granted { to: Incarnation(9), round: 2, epoch: Epoch(6), slices: vec![Slice(4)] }), &[1, 1, 9, 2, 6, 1, 4])]
#[case::denied(Body::Lease(LeaseMessage::Denied { round: 2, known: vec![KnownEpoch { slice: Slice(4), epoch: Epoch(6) }] }), &[1, 2, 2, 1, 4, 6])]
#[case::released(Body::Lease(LeaseMessage::Released { epoch: Epoch(6), slices: vec![Slice(4)] }), &[1, 3, 6, 1, 4])]
#[case::fence(Body::Fence(Claims(vec![ClaimStatus { slice: Slice(4), claim: SMALL_CLAIM, age: Some(9) }])), &[2, 1, 4, 3, 5, 6, 8, 1, 1, 9])]
#[case::claims(Body::Remote { from: 9, incarnation: Incarnation(10), forwarded: false, message: RemoteMessage::Claims(Claims(vec![])) }, &[3, 9, 10, 0, 0, 0])]
#[case::transfer_request(Body::Remote { from: 9, incarnation: Incarnation(10), forwarded: true, message: RemoteMessage::RateTransferRequest(RateTransfer { budget: 1, number: 2, claim: SMALL_CLAIM, rate: Amount::from_thousandths(7), issued: Amount::from_thousandths(12) }) }, &[3, 9, 10, 1, 1, 1, 2, 3, 5, 6, 8, 1, 7, 12])]
#[case::transfer_granted(Body::Remote { from: 9, incarnation: Incarnation(10), forwarded: true, message: RemoteMessage::RateTransferGranted(RateTransfer { budget: 1, number: 2, claim: SMALL_CLAIM, rate: Amount::from_thousandths(7), issued: Amount::from_thousandths(12) }) }, &[3, 9, 10, 1, 2, 1, 2, 3, 5, 6, 8, 1, 7, 12])]
#[case::request(Body::GrantRequest { budget: 1, request: GrantRequest { number: 2, want: Amount::from_thousandths(7) } }, &[4, 1, 2, 7])]
#[case::grant(Body::Grant {
    budget: 1,
    authority: GrantAuthority { slice: Slice(4), epoch: Epoch(6), claim: Some(SMALL_CLAIM) },
    grant: Grant { to: 10, number: 2, amount: Amount::from_thousandths(7) },
}, &[5, 1, 4, 6, 1, 3, 5, 6, 8, 1, 10, 2, 7])]
fn datagram_bytes_of_this_version_are_unchanged(#[case] body: Body, #[case] bytes: &[u8]) {
    let header = [VERSION, 7, 11];
    assert_eq!(encode(7, Incarnation(11), body).unwrap(), [&header, bytes].concat());
}

#[test]
fn decode_of_arbitrary_bytes_never_panics() {
    let mut random_state = 1_u64;
    for length in 0..3_000_usize {
        let mut bytes: Vec<u8> = (0..length % 260)
            .map(|_| {
                random_state = crate::hash::mix(random_state.wrapping_add(0x9e37_79b9_7f4a_7c15));
                random_state as u8
            })
            .collect();
        bytes.iter_mut().take(1).for_each(|first| *first = VERSION);
        let _ = decode(7, &bytes);
    }
}
