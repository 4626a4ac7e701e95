//! Service documents of the demonstration.

use std::net::SocketAddr;

/// Returns the service document of a model service on the given engines.
pub fn model_document(engines: &[SocketAddr]) -> String {
    let endpoints = endpoints("engine", engines);
    format!(
        r#"{{
    // Fitting suggestions and care notes.
    "service": "advisor-lm",
    "owner": "advisor team",
    "kind": "model",
    "endpoints": [
{endpoints}    ],
    "deadline_ms": 10000,
}}
"#
    )
}

/// Returns the service document of a plain service on the given endpoints.
pub fn plain_document(addresses: &[SocketAddr]) -> String {
    let endpoints = endpoints("shop", addresses);
    format!(
        r#"{{
    // Catalogue pages and the stock lookup.
    "service": "shopfront",
    "owner": "shop team",
    "kind": "plain",
    "endpoints": [
{endpoints}    ],
    "routes": [
        {{ "path": "/catalogue", "idempotent": true }},
        {{ "path": "/stock/hold", "idempotent": false, "deadline_ms": 3000 }},
    ],
}}
"#
    )
}

fn endpoints(name: &str, addresses: &[SocketAddr]) -> String {
    let mut text = String::new();
    for (index, address) in addresses.iter().enumerate() {
        let number = index + 1;
        let domain = ["dk-east-a", "dk-east-b", "dk-east-c"][index % 3];
        text.push_str(&format!(
            "        {{ \"endpoint\": \"{name}-{number}\", \"address\": \"{address}\", \
             \"failure_domain\": \"{domain}\", \"vm\": \"{name}-vm-{number}\", \
             \"checks_fencing\": true, \"echoes_request_id\": true }},\n"
        ));
    }
    text
}
