//! The directory section of the settings: servers, credentials, the search, and the limits of callers without a
//! tenant.
use crate::limit::UnknownCallers;
use crate::model::EntryMapping;
use rockpick_ldap::{filter, Login, SessionConfig};
use rockpick_net::{Ns, MS};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

const MAX_SERVERS: usize = 16;
/// Maximum length of PEM text in the settings: a few certificates.
const MAX_PEM_LENGTH: usize = 256 * 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectorySettings {
    /// In order of preference.
    pub servers: Vec<Server>,
    /// Use StartTLS; not for `ldaps` servers, whose connections start with TLS.
    #[serde(default)]
    pub start_tls: bool,
    /// Allow a password over an unencrypted connection: for tests on loopback.
    #[serde(default)]
    pub plain: bool,
    /// Certificates of the authorities that sign the servers' certificates, in PEM.
    #[serde(default)]
    pub authorities: String,
    #[serde(default)]
    pub login: Credentials,
    pub base: String,
    /// Which entries are tenants and principals (RFC 4515).
    #[serde(default = "all")]
    pub filter: String,
    #[serde(default)]
    pub tenancy: EntryMapping,
    /// Use content synchronization if the server supports it.
    #[serde(default = "yes")]
    pub sync: bool,
    #[serde(default = "five_seconds")]
    pub poll_ms: u64,
    #[serde(default = "five_seconds")]
    pub answer_within_ms: u64,
    #[serde(default = "page")]
    pub page: u32,
    /// Follow a referral, once per connection, if it points to one of the servers.
    #[serde(default)]
    pub follow: bool,
    /// Maximum binds per second of all fronts together when a directory comes back.
    #[serde(default = "twenty")]
    pub binds_a_second: f64,
    /// Callers without a tenant: refused, or treated together as one tenant with this share and rate.
    #[serde(default)]
    pub unknown: UnknownCallersSetting,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub at: SocketAddr,
    /// The name that the server's certificate must have.
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    pub ldaps: bool,
}

/// Credentials of the fronts.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Credentials {
    #[default]
    Anonymous,
    Simple {
        dn: String,
        password: String,
    },
    /// A client certificate and its key, in PEM.
    External {
        certificate: String,
        key: String,
    },
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Credentials::Anonymous => "anonymous",
            Credentials::Simple { .. } => "simple",
            Credentials::External { .. } => "external",
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum UnknownCallersSetting {
    Refused,
    Common { share: f64, rate: Option<f64> },
}

impl Default for UnknownCallersSetting {
    fn default() -> UnknownCallersSetting {
        UnknownCallersSetting::Common { share: 1.0, rate: None }
    }
}

fn all() -> String {
    "(objectClass=*)".into()
}

fn yes() -> bool {
    true
}

fn five_seconds() -> u64 {
    5_000
}

fn page() -> u32 {
    500
}

fn twenty() -> f64 {
    20.0
}

fn pem<T: PemObject>(text: &str) -> Result<Vec<T>, String> {
    T::pem_slice_iter(text.as_bytes()).collect::<Result<_, _>>().map_err(|err| err.to_string())
}

impl DirectorySettings {
    /// Validates the fields. Returns the path of each invalid field, relative to this section, and the reason.
    pub fn check(&self) -> Vec<(String, String)> {
        let mut errors = Vec::new();
        let mut check = |valid: bool, field: &str, why: &str| {
            if !valid {
                errors.push((field.to_string(), why.to_string()));
            }
        };
        check((1..=MAX_SERVERS).contains(&self.servers.len()), "servers", "1 to 16 are wanted");
        check(self.base.len() <= 1_024, "base", "1024 bytes at most");
        check((100..=3_600_000).contains(&self.poll_ms), "poll_ms", "100 ms to an hour");
        check((10..=600_000).contains(&self.answer_within_ms), "answer_within_ms", "10 ms to ten minutes");
        check((1..=10_000).contains(&self.page), "page", "1 to 10000");
        check((0.1..=1e5).contains(&self.binds_a_second), "binds_a_second", "0.1 to 100000");
        check((0.0..=1.0).contains(&self.tenancy.believe_loss), "tenancy.believe_loss", "0 to 1");
        check(self.tenancy.renamed_ms <= 86_400_000, "tenancy.renamed_ms", "a day at most");
        let has_names = !self.tenancy.tenant_class.is_empty() && !self.tenancy.name.is_empty();
        check(has_names, "tenancy", "tenant_class and name are wanted");
        if let UnknownCallersSetting::Common { share, rate } = self.unknown {
            check(share > 0.0 && share <= 1e9, "unknown.common.share", "above 0, at most 1e9");
            check(rate.is_none_or(|r| (0.0..=1e9).contains(&r)), "unknown.common.rate", "0 to 1e9");
        }
        if let Err(why) = filter::parse(&self.filter) {
            check(false, "filter", &why);
        }
        check(self.authorities.len() <= MAX_PEM_LENGTH, "authorities", "256 KiB at most");
        for (i, s) in self.servers.iter().enumerate() {
            let uses_tls = s.ldaps || self.start_tls;
            let name = ServerName::try_from(s.name.as_str());
            check(
                !uses_tls || name.is_ok(),
                &format!("servers[{i}].name"),
                "the name in its certificate is wanted",
            );
        }
        if self.uses_tls() {
            if let Err((field, why)) = self.tls() {
                check(false, field, &why);
            }
        } else {
            check(
                !matches!(self.login, Credentials::External { .. }),
                "login.external",
                "wanted: ldaps or start_tls",
            );
            let unprotected = matches!(self.login, Credentials::Simple { .. }) && !self.plain;
            check(
                !unprotected,
                "login.simple",
                "a password would go in the clear: ldaps, start_tls, or plain",
            );
        }
        errors
    }

    fn uses_tls(&self) -> bool {
        self.start_tls || self.servers.iter().any(|s| s.ldaps)
    }

    /// The TLS configuration, if TLS is used. It verifies the names and validity periods of certificates.
    ///
    /// # Errors
    /// The invalid field and the reason.
    pub fn tls(&self) -> Result<Option<Arc<ClientConfig>>, (&'static str, String)> {
        if !self.uses_tls() {
            return Ok(None);
        }
        let mut roots = RootCertStore::empty();
        for authority in pem::<CertificateDer>(&self.authorities).map_err(|why| ("authorities", why))? {
            roots.add(authority).map_err(|err| ("authorities", err.to_string()))?;
        }
        if roots.is_empty() {
            return Err(("authorities", "a certificate is wanted".into()));
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|err| ("start_tls", err.to_string()))?
            .with_root_certificates(roots);
        let client = match &self.login {
            Credentials::External { certificate, key } => {
                let chain = pem(certificate).map_err(|why| ("login.external.certificate", why))?;
                let key = PrivateKeyDer::from_pem_slice(key.as_bytes())
                    .map_err(|err| ("login.external.key", err.to_string()))?;
                builder
                    .with_client_auth_cert(chain, key)
                    .map_err(|err| ("login.external", err.to_string()))?
            }
            _ => builder.with_no_client_auth(),
        };
        Ok(Some(Arc::new(client)))
    }

    /// The parameters of a session.
    pub fn session_config(&self) -> Result<SessionConfig, String> {
        Ok(SessionConfig {
            login: match &self.login {
                Credentials::Anonymous => Login::Anonymous,
                Credentials::Simple { dn, password } => {
                    Login::Simple { dn: dn.clone(), password: password.clone() }
                }
                Credentials::External { .. } => Login::External,
            },
            start_tls: self.start_tls,
            allow_plaintext: self.plain,
            base: self.base.clone(),
            filter: filter::parse(&self.filter)?,
            attributes: self.tenancy.attributes(),
            page_size: self.page,
            sync: self.sync,
            poll_interval: self.poll_ms as Ns * MS,
            response_timeout: self.answer_within_ms as Ns * MS,
            max_entries: crate::model::MAX_ENTRIES,
            ..SessionConfig::default()
        })
    }

    pub fn unknown_callers(&self) -> UnknownCallers {
        match self.unknown {
            UnknownCallersSetting::Refused => UnknownCallers::Refused,
            UnknownCallersSetting::Common { share, rate } => UnknownCallers::Common { share, rate },
        }
    }

    /// Example settings: one server without TLS.
    pub fn example(at: SocketAddr) -> DirectorySettings {
        DirectorySettings {
            servers: vec![Server { at, name: String::new(), ldaps: false }],
            start_tls: false,
            plain: false,
            authorities: String::new(),
            login: Credentials::Anonymous,
            base: "dc=example".into(),
            filter: all(),
            tenancy: EntryMapping::default(),
            sync: true,
            poll_ms: 5_000,
            answer_within_ms: 5_000,
            page: 500,
            follow: false,
            binds_a_second: 20.0,
            unknown: UnknownCallersSetting::default(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn errors_name_the_invalid_fields() {
        let settings = DirectorySettings::example(SocketAddr::from(([127, 0, 0, 1], 389)));
        assert_eq!(settings.check(), []);
        let invalid = DirectorySettings {
            login: Credentials::Simple { dn: "cn=a".into(), password: "x".into() },
            filter: "(a".into(),
            page: 0,
            ..settings.clone()
        };
        let fields: Vec<String> = invalid.check().into_iter().map(|w| w.0).collect();
        assert_eq!(fields, ["page", "filter", "login.simple"]);
        let invalid = DirectorySettings { start_tls: true, authorities: "no pem".into(), ..settings };
        let fields: Vec<String> = invalid.check().into_iter().map(|w| w.0).collect();
        assert_eq!(fields, ["servers[0].name", "authorities"]);
    }
}
