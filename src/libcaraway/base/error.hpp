#pragma once

#include <boost/outcome.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace caraway::base
{

/// Error kinds, one for each way in which a caller has to react. The names are part of the
/// interface: they appear in responses to callers and operators.
enum class errc
{
    invalid_argument,    ///< The input violates a rule; the message names the field and the rule.
    not_found,           ///< The named object does not exist.
    conflict,            ///< A concurrent change was applied first; read again, then retry.
    permission_denied,   ///< Authenticated, but not authorised.
    unauthenticated,     ///< Credentials are missing or invalid.
    unavailable,         ///< The operation had no effect; it is safe to retry.
    unknown_effect,      ///< No response was received; the operation may have taken effect.
    timeout,             ///< The deadline expired before the operation was started.
    resource_exhausted,  ///< A limit or quota has been reached.
    corrupt,             ///< Data does not match its hash or its format.
    internal,            ///< A fault in this program.
};

/// The name of an error kind as used in responses, for example "invalid_argument".
const char* name(errc code);

/// An error: `code` is evaluated by the program, `message` is read by people.
struct error
{
    errc code = errc::internal;
    std::string message;

    friend bool operator==(const error&, const error&) = default;
};

/// A value or an error. Accessing the alternative that is not present is a programming error and
/// terminates the process.
template <class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// Creates an error that converts to any `result`.
inline error make_error(errc code, std::string message)
{
    return error{.code = code, .message = std::move(message)};
}

inline boost::outcome_v2::success_type<void> success()
{
    return boost::outcome_v2::success();
}

}  // namespace caraway::base
