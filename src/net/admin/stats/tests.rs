//! Tests of the operators' statistics.

use super::*;

#[test]
fn each_answer_is_counted_once_under_its_class() {
    let stats = AdminStats::new(["read", "write"]);
    for status in [StatusCode::OK, StatusCode::TOO_MANY_REQUESTS, StatusCode::BAD_GATEWAY] {
        stats.record_request_started();
        stats.record_request_ended(1, Some(status));
    }
    stats.record_request_started();
    stats.record_request_started();
    stats.record_request_ended(0, None);
    stats.record_attempt_written();
    stats.set_backend_counts(5, 2);
    let json = stats.json();
    assert_eq!(json["downstream_requests"]["write"], json!({"completed": 1, "rejected": 1, "failed": 1}));
    assert_eq!(json["downstream_requests"]["read"], json!({"completed": 0, "rejected": 0, "failed": 0}));
    assert_eq!((json["pending"].as_u64(), json["upstream_requests"].as_u64()), (Some(1), Some(1)));
    assert!(json.get("rules").is_none());
    stats.set_active_version(3);
    assert_eq!(stats.json()["rules"], 3);
    assert_eq!((json["members"].as_u64(), json["members_unavailable"].as_u64()), (Some(5), Some(2)));
}
