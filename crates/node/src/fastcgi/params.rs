//! Reads requests from their FastCGI parameters, which are named as CGI names headers.

use super::records::{leading_pairs, pairs};
use crate::config::NamedSettings;
use crate::request::{self, BadRequest, PeerRequest};
use crate::steering::Samples;
use jaspershunt_steering::Client;
use std::net::SocketAddr;

/// The parameter that holds the path.
const SCRIPT_NAME: &[u8] = b"SCRIPT_NAME";

/// Whether a parameter is the CGI form of a header, such as `HTTP_X_ORG` for `X-Org`.
fn is_cgi_name(param: &[u8], header: &str) -> bool {
    let cgi = |b: u8| if b == b'-' { b'_' } else { b.to_ascii_uppercase() };
    param.strip_prefix(b"HTTP_").is_some_and(|name| name.iter().copied().eq(header.bytes().map(cgi)))
}

/// Returns the client of a request, as steering identifies it.
pub(super) fn steering_client(
    samples: &Samples,
    peer: SocketAddr,
    balancer: u64,
    params: &[u8],
) -> Option<Client> {
    let pairs = pairs(params)?;
    let field = |name: &str| {
        let (_, value) = pairs.iter().find(|(n, _)| is_cgi_name(n, name))?;
        std::str::from_utf8(value).ok()
    };
    samples.client(peer, balancer, field)
}

/// Reads a request from its parameters, named as CGI names headers.
pub(super) fn parse_request(
    params: &[u8],
    body: Vec<u8>,
    facts: &NamedSettings,
) -> Result<PeerRequest, BadRequest> {
    let Some(pairs) = pairs(params) else {
        return Err(BadRequest("its parameters are truncated or too many".to_string()));
    };
    let param = |name: &[u8]| {
        let (_, value) = pairs.iter().find(|(n, _)| *n == name)?;
        std::str::from_utf8(value).ok()
    };
    let field = |name: &str| {
        let (_, value) = pairs.iter().find(|(n, _)| is_cgi_name(n, name))?;
        std::str::from_utf8(value).ok()
    };
    let path = param(SCRIPT_NAME).unwrap_or_default();
    let method = param(b"REQUEST_METHOD").unwrap_or_default();
    request::read(path, method, field, body, &facts.settings, &facts.names)
}

/// Whether the parameters, as far as they were read, show that the request has no key.
pub(super) fn is_known_unkeyed(params: &[u8], facts: &NamedSettings) -> bool {
    let pairs = leading_pairs(params);
    let path = pairs.iter().find(|(name, _)| *name == SCRIPT_NAME).map(|(_, value)| *value);
    let path = path.map(|path| std::str::from_utf8(path).unwrap_or_default());
    !request::may_be_keyed(path, &facts.settings, &facts.names)
}
