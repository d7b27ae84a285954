//! What a query asks for is what the backend reads from it.

use rand::SeedableRng;

use super::*;

#[test]
fn backend_reads_what_the_query_asks_for() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..500 {
        let answer = BreakOff::draw_answer(&mut rng, Duration::from_millis(700));
        let line = format!("GET /read/00000000b4d65521{} HTTP/1.0", answer.query());
        assert_eq!(AnswerRequest::parse(&line), Some(answer), "{line}");
    }
}

#[test]
fn chunk_that_breaks_off_is_announced_longer_than_it_is() {
    let mut bytes = Vec::new();
    write_chunks(&mut bytes, b"a rep", BreakPoint::WithinBody);
    assert_eq!(bytes, b"6\r\na rep");
    bytes.clear();
    write_chunks(&mut bytes, b"a rep", BreakPoint::BehindEnd);
    assert_eq!(bytes, b"5\r\na rep\r\n0\r\n\r\n");
}
