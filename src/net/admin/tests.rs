//! Tests of the calls to the operators' address.

use axum::body::Body;
use axum::http::header;
use http_body_util::BodyExt;
use tower_service::Service;

use super::*;

fn admin() -> (Router, mpsc::Receiver<ControlCommand>, watch::Receiver<Phase>) {
    let (control, calls) = mpsc::channel(4);
    let (phase, seen) = watch::channel(Phase::Serving);
    let admin = Admin {
        stats: Arc::new(AdminStats::new(["read"])),
        memory: MemoryBudget::new(1 << 20, usize::MAX),
        phase,
        control,
        cordon_file: None,
        consensus: None,
        cordon_lock: Arc::default(),
    };
    (routes(admin), calls, seen)
}

async fn call(routes: &mut Router, method: &str, uri: &str, body: &'static str) -> (u16, String) {
    let mut request = axum::http::Request::builder().method(method).uri(uri);
    if !body.is_empty() {
        request = request.header(header::CONTENT_LENGTH, body.len());
    }
    let request =
        request.body(if body.is_empty() { Body::empty() } else { Body::from(body) }).expect("a call");
    let answer = routes.call(request).await.expect("an answer");
    let status = answer.status().as_u16();
    let text = answer.into_body().collect().await.expect("a body").to_bytes();
    (status, String::from_utf8_lossy(&text).into_owned())
}

#[tokio::test]
async fn malformed_calls_are_rejected_without_reaching_control_actor() {
    let (mut routes, mut calls, _) = admin();
    for (method, uri, body, status) in [
        ("PUT", "/admin/cordon", "", 400),
        ("PUT", "/admin/cordon?name=", "", 400),
        ("PUT", "/admin/cordon?name=w1&name=w2", "", 400),
        ("PUT", "/admin/cordon?name=w1", "a body", 400),
        ("PUT", "/admin/quiesce", "a body", 400),
        ("GET", "/admin/cordon?name=w1", "", 405),
        ("PUT", "/admin/stats", "", 405),
        ("GET", "/admin/nothing", "", 404),
    ] {
        assert_eq!(call(&mut routes, method, uri, body).await.0, status, "{method} {uri}");
    }
    assert!(calls.try_recv().is_err(), "no call reached the control actor");
}

#[tokio::test]
async fn cordon_answer_follows_control_actor() {
    let (mut routes, mut calls, _) = admin();
    let control_actor = tokio::spawn(async move {
        while let Some(ControlCommand::Cordon { name, cordoned, reply }) = calls.recv().await {
            let known = name == "w%1" || name == "w2";
            let names = if cordoned { vec![name] } else { vec![] };
            let _ = reply.send(known.then_some(names));
        }
    });
    assert_eq!(
        call(&mut routes, "PUT", "/admin/cordon?name=w%251", "").await,
        (200, "{\"cordoned\":[\"w%1\"]}\n".into())
    );
    assert_eq!(
        call(&mut routes, "PUT", "/admin/uncordon?name=w2", "").await,
        (200, "{\"cordoned\":[]}\n".into())
    );
    assert_eq!(call(&mut routes, "PUT", "/admin/cordon?name=w9", "").await.0, 404);
    drop(routes);
    control_actor.await.expect("the stand-in ends");
}

#[tokio::test]
async fn draining_and_resuming_are_idempotent() {
    let (mut routes, _calls, phase) = admin();
    for _ in 0..2 {
        assert_eq!(call(&mut routes, "PUT", "/admin/quiesce", "").await.0, 200);
        assert_eq!(*phase.borrow(), Phase::Quiesced);
    }
    assert_eq!(
        call(&mut routes, "GET", "/admin/health", "").await,
        (200, "{\"taking\":true,\"draining\":true}\n".into())
    );
    for _ in 0..2 {
        assert_eq!(call(&mut routes, "PUT", "/admin/resume", "").await.0, 200);
        assert_eq!(*phase.borrow(), Phase::Serving);
    }
}
