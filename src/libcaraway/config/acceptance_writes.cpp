#include "libcaraway/config/acceptance_writes.hpp"

#include "libcaraway/config/change_rules.hpp"

#include <utility>

namespace caraway::config
{

namespace
{

constexpr std::size_t token_length = 36;

/// Idempotency token. Equal for equal writes, so that the table service recognises a repeated
/// transaction whose reply was lost.
std::string idempotency_token(const std::vector<put_row>& puts)
{
    QByteArray serialized;
    for (const put_row& put : puts)
    {
        serialized += QByteArray::fromStdString(put.key.pk + '|' + put.key.sk + '|') +
                      QByteArray::number(static_cast<qulonglong>(put.expected_rev.value_or(0))) +
                      '|' + put.body + '\n';
    }
    return sha256(serialized).substr(0, token_length);
}

}  // namespace

transact acceptance_writes(const approved_change& approved)
{
    const change_record& change = approved.change;
    const base::config_version version = next(change.base_version);
    const head_record head{.version = version, .hash = change.hash, .change = change.id};
    const log_record log{.version = version,
                         .hash = change.hash,
                         .change = change.id,
                         .proposer = change.proposer,
                         .approvers = approved.approvers,
                         .at = approved.at};
    std::vector<put_row> puts{{head_key(), approved.head_rev, to_json(head)},
                              {change_key(change.id), approved.change_rev, to_json(change)},
                              {log_key(version), std::nullopt, to_json(log)}};
    std::string token = idempotency_token(puts);
    return {std::move(puts), std::move(token)};
}

}  // namespace caraway::config
