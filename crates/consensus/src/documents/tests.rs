//! Tests of the assembly of documents from chunks.

use super::*;

#[test]
fn document_is_assembled_from_chunks_in_any_order() {
    let mut sender = Documents::default();
    let document: Vec<u8> = (0..1_000u32).map(|n| n as u8).collect();
    let digest = sender.insert(document.clone());
    let mut receiver = Documents::default();
    for index in [3u8, 0, 5, 1, 1, 4, 2] {
        let chunk = sender.chunk(&digest, index).expect("the document has six chunks");
        receiver.insert_chunk(chunk);
    }
    assert_eq!(receiver.get(&digest), Some(&document[..]));
    assert_eq!(sender.chunk(&digest, 6), None);
}

#[test]
fn incomplete_document_provides_its_chunks_and_reports_missing_ones() {
    let (mut source, mut partial, mut receiver) =
        (Documents::default(), Documents::default(), Documents::default());
    let document: Vec<u8> = (0..1_000u32).map(|n| n as u8).collect();
    let digest = source.insert(document.clone());
    for index in [1, 4] {
        let chunk = source.chunk(&digest, index).expect("the document has six chunks");
        assert!(!partial.insert_chunk(chunk));
    }
    assert_eq!((0..4).map(|draw| partial.missing_chunk(&digest, draw)).collect::<Vec<_>>(), [0, 2, 3, 5]);
    assert_eq!((partial.chunk(&digest, 0), partial.chunk(&digest, 6)), (None, None));
    for (from, index) in
        [(&partial, 1), (&partial, 4), (&source, 0), (&source, 2), (&source, 3), (&source, 5)]
    {
        let chunk = from.chunk(&digest, index).expect("the sender has this chunk");
        receiver.insert_chunk(chunk);
    }
    assert_eq!(receiver.get(&digest), Some(&document[..]));
}

#[test]
fn document_that_does_not_match_its_digest_is_not_stored() {
    let mut documents = Documents::default();
    let digest = Digest::of(b"a document");
    let chunk = |index, total, bytes: &[u8]| DocumentChunk { digest, index, total, bytes: bytes.to_vec() };
    assert!(!documents.insert_chunk(chunk(0, 1, b"another")));
    assert!(!documents.has(&digest));
    assert!(!documents.insert_chunk(chunk(2, 1, b"a document")));
    assert!(documents.insert_chunk(chunk(0, 1, b"a document")));
}
