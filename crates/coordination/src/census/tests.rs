use super::*;
use proptest::prelude::*;
use serde_json::json;

fn read(_: &str, value: &Value) -> Option<JobMemberships> {
    let joined = vec![(value["pact"].as_str()?.to_owned(), json!(1))];
    let state = match value["end"].as_str() {
        None => CensusJobState::Live,
        Some("done") => CensusJobState::Done,
        Some(_) => CensusJobState::Cancelled,
    };
    Some(JobMemberships { joined, state })
}

#[test]
fn an_unreadable_record_prevents_closing() {
    let mut census = Census::begin(["p".to_owned()].into());
    census.apply_page([("job/a".to_owned(), json!({"pact": 7}))], false, read);
    census.apply_page([], false, read);
    assert_eq!((census.next_step(), census.members("p")), (CensusStep::Complete, None));
    assert_eq!(census.unreadable(), ["a"]);
}

proptest! {
    /// Jobs end at any moment while the census is in progress. Each job must be found once, and an end that was stored
    /// before the reading of final records began must be seen.
    #[test]
    fn all_members_are_found_while_jobs_end(
        job_count in 1usize..40, page_size in 1usize..6, ends in prop::collection::vec((0usize..60, 0usize..40), 0..40)
    ) {
        let mut store: BTreeMap<String, Value> =
            (0..job_count).map(|i| (format!("job/wk-{i:03}"), json!({"pact": if i % 3 == 0 { "q" } else { "p" }}))).collect();
        let mut census = Census::begin(["p".to_owned()].into());
        for step in 0.. {
            for (_, i) in ends.iter().filter(|(at, _)| *at == step) {
                if let Some(mut value) = store.remove(&format!("job/wk-{i:03}")) {
                    value["end"] = json!("done");
                    store.insert(format!("done/wk-{i:03}"), value);
                }
            }
            let CensusStep::ReadPage { prefix, after } = census.next_step() else { break };
            let remaining: Vec<(String, Value)> = store
                .iter()
                .filter(|(k, _)| k.starts_with(prefix) && **k > after)
                .map(|(k, value)| (k.clone(), value.clone()))
                .collect();
            let more = remaining.len() > page_size;
            census.apply_page(remaining.into_iter().take(page_size), more, read);
        }
        let found: Vec<String> = census.members("p").expect("whole").into_keys().collect();
        let all: Vec<String> = (0..job_count).filter(|i| i % 3 != 0).map(|i| format!("wk-{i:03}")).collect();
        prop_assert_eq!(found, all);
    }
}
