#include "libcaraway/config/cross_checks.hpp"

#include "libcaraway/config/json_pointer.hpp"
#include "libcaraway/config/review_policy.hpp"

#include <arpa/inet.h>

#include <array>
#include <map>
#include <set>
#include <utility>

namespace caraway::config
{

namespace
{

std::string pointer_to(const char* part, const std::string& id)
{
    return child_pointer(std::string("/") + part, QString::fromStdString(id));
}

/// Runs the checks, one per member function, and collects their errors.
class cross_checker
{
public:
    explicit cross_checker(const configuration& proposed) : proposed_(proposed) {}

    std::vector<cross_check_error> run()
    {
        check_workspaces();
        check_services();
        check_upstreams();
        check_keys();
        check_review();
        return std::move(errors_);
    }

private:
    void add(std::string pointer, std::string message)
    {
        errors_.push_back({std::move(pointer), std::move(message)});
    }

    void check_workspaces()
    {
        for (const auto& [id, workspace] : proposed_.workspaces)
        {
            for (std::size_t i = 0; i < workspace.services.size(); ++i)
            {
                const base::service_id& wanted = workspace.services[i];
                if (!proposed_.services.contains(wanted))
                {
                    add(child_pointer(pointer_to("workspaces", id.str()) + "/services", i),
                        "expected the id of a service; there is no \"" + wanted.str() + '"');
                }
            }
        }
    }

    void check_services()
    {
        for (const auto& [id, service] : proposed_.services)
        {
            // In the path /s/<service>/... the service's id ends at the first slash.
            if (service.kind == service_kind::plain && id.str().find('/') != std::string::npos)
            {
                add(pointer_to("services", id.str()),
                    "expected no '/' in the id of a plain service");
            }
        }
    }

    void check_upstreams()
    {
        std::map<std::pair<std::string, std::uint16_t>, std::string> addresses;
        for (const auto& [id, upstream] : proposed_.upstreams)
        {
            const std::string pointer = pointer_to("upstreams", id.str());
            if (!proposed_.services.contains(upstream.service))
            {
                add(pointer + "/service",
                    "expected the id of a service; there is no \"" + upstream.service.str() + '"');
            }
            if (!is_ip_address(upstream.host))
            {
                add(pointer + "/host", "expected an IP address; found \"" + upstream.host + '"');
            }
            const auto [first, is_new] =
                addresses.try_emplace({upstream.host, upstream.port}, pointer);
            if (!is_new)
            {
                add(pointer + "/port",
                    "expected an address and port of its own; " + first->second + " has the same");
            }
        }
    }

    void check_keys()
    {
        for (const auto& [id, workspace] : proposed_.workspaces)
        {
            check_unique_keys(pointer_to("workspaces", id.str()), workspace.key_hashes);
        }
        for (const auto& [id, account] : proposed_.operators)
        {
            check_unique_keys(pointer_to("operators", id.str()), account.key_hashes);
        }
    }

    /// A key shared by two holders would let one act as the other.
    void check_unique_keys(const std::string& holder, const std::vector<sha256_hex>& hashes)
    {
        for (std::size_t i = 0; i < hashes.size(); ++i)
        {
            const std::string pointer = child_pointer(holder + "/key_hashes", i);
            const auto [first, is_new] = keys_.try_emplace(hashes[i], pointer);
            if (!is_new)
            {
                add(pointer, "expected a key of its own; " + first->second + " is the same");
            }
        }
    }

    void check_review()
    {
        std::set<std::string> parts;
        for (std::size_t i = 0; i < proposed_.review.size(); ++i)
        {
            if (!parts.insert(proposed_.review[i].part).second)
            {
                add(child_pointer("/review", i) + "/part",
                    "expected one rule per part; \"" + proposed_.review[i].part + "\" has another");
            }
        }
        const std::string reason = lockout_reason(proposed_);
        if (!reason.empty())
        {
            add("/operators", reason);
        }
    }

    const configuration& proposed_;
    std::vector<cross_check_error> errors_;
    std::map<sha256_hex, std::string> keys_;
};

}  // namespace

std::vector<cross_check_error> cross_check(const configuration& proposed)
{
    return cross_checker(proposed).run();
}

bool is_ip_address(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(AF_INET, text.c_str(), parsed.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), parsed.data()) == 1;
}

}  // namespace caraway::config
