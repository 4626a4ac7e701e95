//! Layout of stored submissions.

use wisteriapoint_batch::{BodyRange, JobRecord, RecordHeader};
use wisteriapoint_node::jobs::keys::MAX_PART_BYTES;
use wisteriapoint_node::jobs::record::{RecordLayout, decode_header, encode_header};

/// Guards against records that an earlier build can't read, or of which it reads other bytes.
#[test]
fn header_and_body_are_the_record_of_earlier_builds() {
    let body = vec![7; 3 * MAX_PART_BYTES];
    let header = RecordHeader {
        host: "shop.example".into(),
        path: "/batch/j1".into(),
        submitted_unix_ms: 1_790_000_000_000,
        body_bytes: body.len(),
    };
    let mut record = encode_header(&header).unwrap();
    let layout = RecordLayout::new(record.len(), body.len());
    record.extend_from_slice(&body);
    let earlier = JobRecord {
        host: header.host.clone(),
        path: header.path.clone(),
        submitted_unix_ms: header.submitted_unix_ms,
        body,
    };
    assert_eq!(postcard::to_stdvec(&earlier).unwrap(), record);
    assert_eq!(decode_header(&record).unwrap(), (header, layout));
}

/// Guards against parts that overlap, leave a gap, or don't hold a range that they are read for.
#[test]
fn parts_hold_the_whole_body_and_each_range_of_it() {
    for (header_bytes, body_bytes) in [(40, 0), (40, 100), (40, MAX_PART_BYTES - 40)]
        .into_iter()
        .chain([(40, MAX_PART_BYTES - 39), (40, 5 * MAX_PART_BYTES)])
    {
        let layout = RecordLayout::new(header_bytes, body_bytes);
        let mut end = 0;
        for part in 0..layout.parts() {
            let held = layout.body_of_part(part);
            assert_eq!(held.start, end);
            end = held.end;
        }
        assert_eq!(end, body_bytes);
        for (start, end) in [(0, body_bytes), (body_bytes / 2, body_bytes)] {
            let parts = layout.parts_of(BodyRange { start, end });
            assert!(layout.body_of_part(parts.start).start <= start);
            assert!(layout.body_of_part(parts.end - 1).end >= end);
        }
    }
}
