//! Pins the JSON keys of messages whose fields have other names in the source. Gateways of other versions and
//! operators' tools read these keys.

use violetward_gateway::custody::{CustodyStatus, ForwardedRequest, ForwardedResponse};

#[test]
fn a_forwarded_request_keeps_its_keys() {
    let request = ForwardedRequest {
        method: "GET".into(),
        path: "/v1/statement/executing/s/x/1".into(),
        host: "gateway:8080".into(),
        wait_millis: 500,
        waited_millis: 40,
        offset: 7,
    };
    let json = concat!(
        r#"{"method":"GET","path":"/v1/statement/executing/s/x/1","host":"gateway:8080","#,
        r#""wait_millis":500,"waited_millis":40,"from":7}"#
    );
    assert_eq!(serde_json::to_string(&request).unwrap(), json);
    assert_eq!(serde_json::from_str::<ForwardedRequest>(json).unwrap().offset, 7);
    // Gateways of earlier versions do not say how long the request has waited.
    let earlier = json.replace(r#""waited_millis":40,"#, "");
    assert_eq!(serde_json::from_str::<ForwardedRequest>(&earlier).unwrap().waited_millis, 0);
}

#[test]
fn a_forwarded_response_keeps_its_keys() {
    let response = ForwardedResponse {
        status: 200,
        headers: vec![("content-type".into(), "application/json".into())],
        body_length_and_hash: (12, 99),
        holder: Some("g2".into()),
    };
    let json = r#"{"status":200,"headers":[["content-type","application/json"]],"whole":[12,99],"at":"g2"}"#;
    assert_eq!(serde_json::to_string(&response).unwrap(), json);
    let read = serde_json::from_str::<ForwardedResponse>(json).unwrap();
    assert_eq!((read.body_length_and_hash, read.holder.as_deref()), ((12, 99), Some("g2")));
}

#[test]
fn the_custody_status_keeps_its_keys() {
    let status = CustodyStatus {
        name: "g0".into(),
        life: "1f".into(),
        tenure: true,
        held: 1,
        guarded: 2,
        guarded_bytes: 3,
        waiting: 4,
        adopted: 5,
        left: 6,
        unprotected: 7,
        passed_on: 8,
        intents: (9, 10),
    };
    let json = concat!(
        r#"{"name":"g0","life":"1f","tenure":true,"held":1,"guarded":2,"octets":3,"waiting":4,"adopted":5,"#,
        r#""left":6,"unprotected":7,"passedOn":8,"intents":[9,10]}"#
    );
    assert_eq!(serde_json::to_string(&status).unwrap(), json);
    assert_eq!(serde_json::from_str::<CustodyStatus>(json).unwrap(), status);
}
