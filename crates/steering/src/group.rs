//! Groups of clients: an address prefix, a balancer's number, or a field named in the operator's file. A
//! group lies within wider ones, whose estimates apply where it has none of its own.

use serde::{Deserialize, Serialize};
use std::fmt::{self, Display};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Maximum length of a group's name in bytes.
pub const MAX_GROUP_NAME_BYTES: usize = 64;

/// Lengths of the address prefixes that form groups, the widest first.
const V4: [u8; 3] = [8, 16, 24];
const V6: [u8; 3] = [20, 32, 48];

fn v4_mask(bits: u8) -> u32 {
    u32::MAX << (32 - bits)
}

fn v6_mask(bits: u8) -> u128 {
    u128::MAX << (128 - bits)
}

/// Client as an edge identifies it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Client {
    /// By its address.
    Address(IpAddr),
    /// By the number of the balancer through which it connects.
    Balancer(u32),
    /// By the value of a field; nested levels are separated by `/`.
    Field(String),
}

/// Group of clients.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Group {
    /// All clients, written `*`.
    All,
    /// IPv4 prefix and its length in bits.
    V4(u32, u8),
    /// IPv6 prefix and its length in bits.
    V6(u128, u8),
    /// Clients of one balancer.
    Balancer(u32),
    /// Value of a field.
    Field(String),
}

impl Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Group::All => f.write_str("*"),
            Group::V4(prefix, bits) => write!(f, "{}/{bits}", Ipv4Addr::from(*prefix)),
            Group::V6(prefix, bits) => write!(f, "{}/{bits}", Ipv6Addr::from(*prefix)),
            Group::Balancer(number) => write!(f, "balancer:{number}"),
            Group::Field(field) => write!(f, "field:{field}"),
        }
    }
}

fn cut(field: &str) -> String {
    let end = (0..=field.len().min(MAX_GROUP_NAME_BYTES)).rev().find(|&end| field.is_char_boundary(end));
    field[..end.unwrap_or(0)].to_string()
}

impl Group {
    /// Parses the form that [`Display`] writes; any other text is a field.
    pub fn named(name: &str) -> Group {
        let prefix = name.split_once('/').and_then(|(ip, bits)| Some((ip.parse().ok()?, bits.parse().ok()?)));
        let number = name.strip_prefix("balancer:").and_then(|number| number.parse().ok());
        match (prefix, number) {
            _ if name == "*" => Group::All,
            (Some((IpAddr::V4(ip), bits)), _) if V4.contains(&bits) => {
                Group::V4(u32::from(ip) & v4_mask(bits), bits)
            }
            (Some((IpAddr::V6(ip), bits)), _) if V6.contains(&bits) => {
                Group::V6(u128::from(ip) & v6_mask(bits), bits)
            }
            (_, Some(number)) => Group::Balancer(number),
            _ => Group::Field(cut(name.strip_prefix("field:").unwrap_or(name))),
        }
    }

    /// Returns the narrowest group of a client.
    pub fn narrowest(client: &Client) -> Group {
        match client {
            Client::Address(IpAddr::V4(ip)) => Group::V4(u32::from(*ip) & v4_mask(V4[2]), V4[2]),
            Client::Address(IpAddr::V6(ip)) => Group::V6(u128::from(*ip) & v6_mask(V6[2]), V6[2]),
            Client::Balancer(number) => Group::Balancer(*number),
            Client::Field(field) => Group::Field(cut(field)),
        }
    }

    /// Checks the bounds, which input from outside may violate.
    pub fn is_valid(&self) -> bool {
        match self {
            Group::All | Group::Balancer(_) => true,
            Group::V4(prefix, bits) => V4.contains(bits) && prefix & v4_mask(*bits) == *prefix,
            Group::V6(prefix, bits) => V6.contains(bits) && prefix & v6_mask(*bits) == *prefix,
            Group::Field(field) => field.len() <= MAX_GROUP_NAME_BYTES,
        }
    }

    /// Returns the next wider group.
    pub fn parent(&self) -> Option<Group> {
        let wider = |levels: [u8; 3], bits: u8| levels.into_iter().rev().find(|&level| level < bits);
        Some(match self {
            Group::All => return None,
            Group::V4(prefix, bits) => {
                wider(V4, *bits).map_or(Group::All, |bits| Group::V4(prefix & v4_mask(bits), bits))
            }
            Group::V6(prefix, bits) => {
                wider(V6, *bits).map_or(Group::All, |bits| Group::V6(prefix & v6_mask(bits), bits))
            }
            Group::Balancer(_) => Group::All,
            Group::Field(field) => field.rfind('/').map_or(Group::All, |at| Group::Field(field[..at].into())),
        })
    }

    /// Iterates over the group and all wider ones, the narrowest first.
    pub fn upwards(&self) -> impl Iterator<Item = Group> {
        std::iter::successors(Some(self.clone()), Group::parent)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_client_belongs_to_all_wider_groups() {
        let up =
            |client: Client| Group::narrowest(&client).upwards().map(|g| g.to_string()).collect::<Vec<_>>();
        let v4 = up(Client::Address("10.3.7.9".parse().unwrap()));
        assert_eq!(v4, ["10.3.7.0/24", "10.3.0.0/16", "10.0.0.0/8", "*"]);
        let v6 = up(Client::Address("2001:db8:7:9::1".parse().unwrap()));
        assert_eq!(v6, ["2001:db8:7::/48", "2001:db8::/32", "2001::/20", "*"]);
        let field = up(Client::Field("norte/salta".into()));
        assert_eq!(field, ["field:norte/salta", "field:norte", "*"]);
        for name in v4.into_iter().chain(v6).chain(field).chain(up(Client::Balancer(7))) {
            let group = Group::named(&name);
            assert!(group.is_valid() && group.to_string() == name);
        }
    }

    #[test]
    fn group_names_are_bounded() {
        assert_eq!(Group::named(&"ñ".repeat(90)), Group::Field("ñ".repeat(MAX_GROUP_NAME_BYTES / 2)));
        assert!(!Group::Field("n".repeat(MAX_GROUP_NAME_BYTES + 1)).is_valid());
        assert!(!Group::V4(1, 8).is_valid() && !Group::V4(0, 7).is_valid());
    }
}
