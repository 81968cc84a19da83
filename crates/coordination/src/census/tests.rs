use super::*;
use proptest::prelude::*;
use serde_json::json;

fn read(_: &str, v: &Value) -> Option<JobMemberships> {
    let joined = vec![(v["pact"].as_str()?.to_owned(), json!(1))];
    let state = match v["end"].as_str() {
        None => CensusJobState::Live,
        Some("done") => CensusJobState::Done,
        Some(_) => CensusJobState::Cancelled,
    };
    Some(JobMemberships { joined, state })
}

#[test]
fn a_record_that_can_not_be_read_closes_nothing() {
    let mut census = Census::begin(["p".to_owned()].into());
    census.apply_page([("job/a".to_owned(), json!({"pact": 7}))], false, read);
    census.apply_page([], false, read);
    assert_eq!((census.next_step(), census.members("p")), (CensusStep::Complete, None));
    assert_eq!(census.unreadable(), ["a"]);
}

proptest! {
    /// Jobs end while the census is under way, at any moment: each is found, once, and an end that was there when the
    /// ends were begun is known.
    #[test]
    fn all_members_are_found_whatever_ends_meanwhile(
        n in 1usize..40, size in 1usize..6, ends in prop::collection::vec((0usize..60, 0usize..40), 0..40)
    ) {
        let mut store: BTreeMap<String, Value> =
            (0..n).map(|i| (format!("job/wk-{i:03}"), json!({"pact": if i % 3 == 0 { "q" } else { "p" }}))).collect();
        let mut census = Census::begin(["p".to_owned()].into());
        for step in 0.. {
            for (_, i) in ends.iter().filter(|(at, _)| *at == step) {
                if let Some(mut v) = store.remove(&format!("job/wk-{i:03}")) {
                    v["end"] = json!("done");
                    store.insert(format!("done/wk-{i:03}"), v);
                }
            }
            let CensusStep::ReadPage { prefix, after } = census.next_step() else { break };
            let rest: Vec<(String, Value)> = store
                .iter()
                .filter(|(k, _)| k.starts_with(prefix) && **k > after)
                .map(|(k, v)| (k.clone(), v.clone()))
                .collect();
            let more = rest.len() > size;
            census.apply_page(rest.into_iter().take(size), more, read);
        }
        let found: Vec<String> = census.members("p").expect("whole").into_keys().collect();
        let all: Vec<String> = (0..n).filter(|i| i % 3 != 0).map(|i| format!("wk-{i:03}")).collect();
        prop_assert_eq!(found, all);
    }
}
