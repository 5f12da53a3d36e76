use super::*;
use rstest::rstest;
use serde_json::json;

const FIRST: &[u8] = b"source \"127.0.0.1\" zone=\"edge\"";
const SECOND: &[u8] = b"source \"127.0.0.2\" zone=\"edge\"";

/// A deployment with these zones, the first of which is the gateway's own.
fn deployment(zones: &[&str]) -> Arc<Deployment> {
    let settings = json!({
        "Classes": [], "Instances": 1, "Limits": {"SendCap": 1}, "Obligations": {}, "Zone": zones[0], "Zones": zones,
    });
    Arc::new(crate::settings::decode(settings).unwrap())
}

fn routes(text: &[u8]) -> Arc<Routes> {
    Arc::new(parse(text, &deployment(&["edge"]).names).unwrap())
}

/// The follower of an instance that has just been told that no more is committed than it knows.
fn confirmed_follower(
    routes: &Arc<AgreedRoutes>,
    deployment: &Arc<Mutex<Arc<Deployment>>>,
) -> RoutesFollower<impl Fn() -> Arc<Deployment> + Send + use<>> {
    let deployment = deployment.clone();
    let mut follower =
        RoutesFollower { routes: routes.clone(), deployment: move || lock(&deployment).clone() };
    follower.confirmed(Instant::now(), 0);
    follower
}

#[test]
fn own_routes_are_in_force_once_the_group_has_confirmed_that_there_are_no_others() {
    let (agreed, own) = (Arc::new(AgreedRoutes::default()), routes(FIRST));
    assert!(agreed.in_force(&own).is_none());
    let deployment = Arc::new(Mutex::new(deployment(&["edge"])));
    let _follower = confirmed_follower(&agreed, &deployment);
    assert_eq!(agreed.in_force(&own).unwrap().newest(), &*own);
}

#[test]
fn routes_that_were_just_committed_count_only_as_far_as_the_previous_ones_agree() {
    let (agreed, own) = (Arc::new(AgreedRoutes::default()), routes(FIRST));
    let deployment = Arc::new(Mutex::new(deployment(&["edge"])));
    confirmed_follower(&agreed, &deployment).committed(SECOND);
    let in_force = agreed.in_force(&own).unwrap();
    assert_eq!(in_force.newest(), &*routes(SECOND));
    assert_eq!(in_force.agree_on(|routes| routes.sources.len()), Some(1));
    assert_eq!(in_force.agree_on(|routes| routes.sources[0].net), None);
}

/// Guards against an instance that stays under previous routes as it can't read the newest ones.
#[rstest]
#[case::zone_not_in_the_settings(b"source \"127.0.0.1\" zone=\"moon\"", true)]
#[case::not_in_the_language(b"sauce", false)]
#[case::not_a_text(b"\xff", false)]
fn routes_that_cannot_be_read_are_in_doubt_until_a_deployment_fits(
    #[case] document: &[u8],
    #[case] is_readable_with_moon: bool,
) {
    let (agreed, own) = (Arc::new(AgreedRoutes::default()), routes(FIRST));
    let current = Arc::new(Mutex::new(deployment(&["edge"])));
    let mut follower = confirmed_follower(&agreed, &current);
    follower.committed(document);
    follower.tick();
    assert!(agreed.in_force(&own).is_none());
    *lock(&current) = deployment(&["edge", "moon"]);
    follower.tick();
    assert_eq!(agreed.in_force(&own).is_some(), is_readable_with_moon);
}
