//! What can be wrong with a configuration. Each message names the place and the remedy.

use thiserror::Error;

/// A configuration that can't be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The text isn't TOML, or a key is unknown, missing or of the wrong type.
    #[error("the document can't be read: {detail}; correct the line it names")]
    Syntax {
        /// The parser's message, with the place.
        detail: String,
    },
    /// The document is larger than a daemon accepts.
    #[error("the document has {size} bytes, more than the {limit} allowed; shorten the policy or the routes")]
    TooLarge {
        /// Bytes given.
        size: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// A value is outside its range.
    #[error("`{key}` is {value}, outside {range}; choose a value within the range")]
    OutOfRange {
        /// The key's full path.
        key: String,
        /// The value given.
        value: String,
        /// The range in words.
        range: &'static str,
    },
    /// A route names a service that the document doesn't define.
    #[error(
        "route {prefix:?} leads to the service {service:?}, which is not defined; add [services.{service}]"
    )]
    UnknownService {
        /// The route's path prefix.
        prefix: String,
        /// The service it names.
        service: String,
    },
    /// A route names no service, or names one in both ways.
    #[error(
        "route {prefix:?} needs either `service` or `weighted` with a weight above 0; write one of the two"
    )]
    NoTarget {
        /// The route's path prefix.
        prefix: String,
    },
    /// A tenant's name can't be sent in a header field.
    #[error("the tenant name {name:?} is not 1 to 128 visible characters of ASCII; choose another name")]
    BadTenantName {
        /// The name.
        name: String,
    },
    /// Two tenants have one name.
    #[error("two tenants have the name {name:?}; give the keys of both to one, or rename one")]
    DuplicateTenant {
        /// The name.
        name: String,
    },
    /// A tenant's key, or the digest of one, is malformed.
    #[error(
        "a key of the tenant {tenant:?} is not 1 to 512 visible characters of ASCII, or the digest of one \
         not 64 hexadecimal digits; correct it"
    )]
    BadKey {
        /// The tenant.
        tenant: String,
    },
    /// A sample names a tenant that the document doesn't define.
    #[error("the tenant {name:?} is not defined; name one of [[tenants]]")]
    UnknownTenant {
        /// The name.
        name: String,
    },
    /// Two tenants have one key, so that it does not identify either.
    #[error("the tenants {first:?} and {second:?} have a key in common; take it away from one of them")]
    SharedKey {
        /// One tenant.
        first: String,
        /// The other.
        second: String,
    },
    /// Two services have one name.
    #[error("two services have the name {name:?}; remove one")]
    DuplicateService {
        /// The name.
        name: String,
    },
    /// Two routes have one prefix.
    #[error("two routes have the prefix {prefix:?}; remove one")]
    DuplicateRoute {
        /// The prefix.
        prefix: String,
    },
    /// A route's prefix isn't an absolute path.
    #[error("the route prefix {prefix:?} does not begin with '/'; write an absolute path")]
    BadPrefix {
        /// The prefix.
        prefix: String,
    },
    /// The policy program doesn't compile.
    #[error("the policy does not compile: {detail}; correct the line it names")]
    Compile {
        /// The compiler's message, with the place.
        detail: String,
    },
    /// The policy defines a function with the wrong number of parameters.
    #[error("the policy function `{function}` must take exactly one parameter")]
    Signature {
        /// The function.
        function: &'static str,
    },
    /// A policy function failed on a sample request.
    #[error("the policy function `{function}` failed on {sample}: {detail}; make it handle this request")]
    Run {
        /// The function.
        function: &'static str,
        /// The request it was tried on.
        sample: String,
        /// Why it failed.
        detail: String,
    },
    /// A policy function returned something unusable.
    #[error("the policy function `{function}` returned {value} for {sample}; return {wanted}")]
    Result {
        /// The function.
        function: &'static str,
        /// The request it was tried on.
        sample: String,
        /// What came back.
        value: String,
        /// What is expected.
        wanted: &'static str,
    },
    /// A sample's expected class isn't what the policy gives.
    #[error(
        "the sample {sample} should be {expected} but the policy makes it {actual}; correct one of the two"
    )]
    SampleClass {
        /// The sample request.
        sample: String,
        /// `expect_class` of the sample.
        expected: String,
        /// The class that the policy chose.
        actual: String,
    },
}
