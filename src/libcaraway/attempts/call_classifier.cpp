#include "libcaraway/attempts/call_classifier.hpp"

#include <algorithm>
#include <array>

namespace caraway::attempts
{

namespace
{

constexpr std::array<std::string_view, 5> idempotent_methods{"GET", "HEAD", "OPTIONS", "PUT",
                                                             "DELETE"};

/// Compares whole path segments, so that a rule for /status does not apply to /status-change.
bool has_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
    {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

/// Whether an upstream may normalise the path to a different one, for which another rule applies.
bool is_ambiguous(std::string_view path)
{
    return path.find_first_of("%\\;") != std::string_view::npos ||
           path.find("//") != std::string_view::npos || path.find("/.") != std::string_view::npos;
}

bool matches(const config::call_rule& rule, std::string_view method, std::string_view path)
{
    return (rule.method == "*" || rule.method == method) && has_prefix(path, rule.path_prefix);
}

}  // namespace

bool is_idempotent(const config::service& service, std::string_view method, std::string_view path)
{
    if (service.kind == config::service_kind::model)
    {
        return true;
    }
    path = path.substr(0, path.find_first_of("?#"));
    if (!service.rules.empty() && is_ambiguous(path))
    {
        return false;
    }
    for (const auto& rule : service.rules)
    {
        if (matches(rule, method, path))
        {
            return rule.idempotent;
        }
    }
    return std::find(idempotent_methods.begin(), idempotent_methods.end(), method) !=
           idempotent_methods.end();
}

}  // namespace caraway::attempts
