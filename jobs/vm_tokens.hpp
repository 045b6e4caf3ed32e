#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace siskinpaddle::jobs {

/// Fencing tokens of one owner's calls to VMs. Calls name a VM by its id, so a call for one incarnation may
/// be carried out by the next one, seconds later, where its deadline and its numbers of ends mean something
/// else. Each incarnation therefore has a token of its own, above those of the earlier ones with its id: once
/// it has answered a call under that token, it refuses the calls for the earlier ones. Not thread-safe.
class vm_tokens {
  public:
    /// Returns the token for a call to the incarnation that is sent now. `owner_token`: that of the owner's
    /// claim. `recorded_at`: the revision of the owner's write that recorded the incarnation, 0 if it was
    /// recorded before, nothing if it is not recorded. Such a write succeeds only under the claim, so a
    /// successor's tokens are higher. An incarnation that is not recorded has the highest token of its id.
    [[nodiscard]] std::int64_t token_for(const std::string& incarnation, std::int64_t owner_token,
                                         std::optional<std::int64_t> recorded_at);
    /// Handles the refusal of a call under `token` as fenced. Returns whether it shows that another owner has
    /// called the VM. Otherwise a call under a higher token of this owner has overtaken it, and further calls
    /// to the incarnation have that token.
    bool handle_refusal(const std::string& incarnation, std::int64_t token);
    /// Forgets the id of a VM that is not called any more.
    void forget(std::string_view id);

  private:
    struct id_tokens {
        std::int64_t highest = 0;
        std::map<std::string, std::int64_t> raised; ///< By incarnation, after a refusal.
    };

    std::map<std::string, id_tokens, std::less<>> m_ids;
    /// A call to a VM that is forgotten, or called again since, may have had it.
    std::int64_t m_highest_forgotten = 0;
};

} // namespace siskinpaddle::jobs
