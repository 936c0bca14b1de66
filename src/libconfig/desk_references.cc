#include <map>
#include <set>

#include "desk_compiler.h"
#include "nearest_name.h"
#include "node_reader.h"
#include "text_values.h"

namespace dotterelshed::pvt {

namespace {

/// Where a name was first written.
struct NamePlace {
  std::string m_path;
  int m_line = 1;
};
using NameIndex = std::map<std::string, NamePlace>;

auto LineOf(const TextNode& map, std::string_view key) -> int {
  for (const auto& member : map.m_members) {
    if (member.m_key == key) {
      return member.m_line;
    }
  }
  return map.m_line;
}

auto NamesOf(const NameIndex& index) -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto& entry : index) {
    names.push_back(entry.first);
  }
  return names;
}

/// Everything that the parts of one text say about each other.
class ReferenceChecker {
 public:
  explicit ReferenceChecker(const TextNode& root) : m_root(root) {}

  auto Run() -> std::vector<ConfigProblem> {
    CollectNames();
    CheckDefaultClass();
    CheckServices();
    CheckCycles();
    CheckAccounts();
    return std::move(m_problems);
  }

 private:
  auto Report(const NamePlace& place, std::string message, std::string remedy)
      -> void {
    m_problems.push_back({.m_line = place.m_line,
                          .m_path = place.m_path,
                          .m_message = std::move(message),
                          .m_remedy = std::move(remedy)});
  }

  /// Notes a name; a second use within @p index is a problem.
  auto Define(NameIndex& index,
              const std::string& name,
              const NamePlace& place,
              const std::string& kind) -> void {
    if (name.empty()) {
      return;
    }
    const auto [entry, added] = index.emplace(name, place);
    if (!added) {
      Report(place, "the " + kind + " '" + name + "' stands twice",
             "rename it or remove it; the other one is on line " +
                 std::to_string(entry->second.m_line));
    }
  }

  auto CheckKnown(const NameIndex& index,
                  const std::string& name,
                  const NamePlace& place,
                  const std::string& kind) -> void {
    if (name.empty() || index.contains(name)) {
      return;
    }
    const auto nearest = NearestName(name, NamesOf(index));
    Report(place, "unknown " + kind + " '" + name + "'",
           nearest.empty() ? "declare it, or name one that is declared"
                           : "did you mean '" + nearest + "'?");
  }

  auto CollectNames() -> void {
    const auto domains = ReadTexts(m_root, "domains");
    for (auto i = std::size_t{0}; i < domains.size(); ++i) {
      Define(m_domains, domains[i].m_text,
             {ItemPath("domains", i), domains[i].m_line}, "domain");
    }
    CollectMembers("services", m_services, "service");
    CollectMembers("classes", m_classes, "class");
    CollectMembers("accounts", m_accounts, "account");
  }

  auto CollectMembers(const std::string& list,
                      NameIndex& index,
                      const std::string& kind) -> void {
    const auto& items = ReadItems(m_root, list);
    for (auto i = std::size_t{0}; i < items.size(); ++i) {
      Define(index, ReadText(items[i], "name"),
             {ItemPath(list, i) + ".name", LineOf(items[i], "name")}, kind);
    }
  }

  auto CheckDefaultClass() -> void {
    CheckKnown(m_classes, ReadText(m_root, "default_class"),
               {"default_class", LineOf(m_root, "default_class")}, "class");
  }

  auto CheckServices() -> void {
    const auto& services = ReadItems(m_root, "services");
    for (auto i = std::size_t{0}; i < services.size(); ++i) {
      const auto path = ItemPath("services", i);
      CheckDependencies(services[i], path);
      CheckModels(services[i], path);
      CheckEndpoints(services[i], path);
      CheckPrice(services[i], path);
    }
  }

  auto CheckDependencies(const TextNode& service, const std::string& path)
      -> void {
    const auto names = ReadTexts(service, "depends_on");
    for (auto i = std::size_t{0}; i < names.size(); ++i) {
      CheckKnown(m_services, names[i].m_text,
                 {ItemPath(path + ".depends_on", i), names[i].m_line},
                 "service");
    }
  }

  auto CheckModels(const TextNode& service, const std::string& path) -> void {
    const auto& models = ReadItems(service, "models");
    const auto kind = ReadText(service, "kind");
    const auto line = LineOf(service, "models");
    if (kind == "model" && models.empty()) {
      Report({path + ".models", line}, "a model service without models",
             "add at least one model with name and version");
    }
    if (kind == "plain" && !models.empty()) {
      Report({path + ".models", line}, "a plain service with models",
             "remove the models or set \"kind\": \"model\"");
    }
    NameIndex own;
    for (const auto& model : models) {
      own.emplace(ReadText(model, "name"), NamePlace{});
    }
    for (auto i = std::size_t{0}; i < models.size(); ++i) {
      CheckModel(models[i], ItemPath(path + ".models", i), own);
    }
  }

  auto CheckModel(const TextNode& model,
                  const std::string& path,
                  const NameIndex& own) -> void {
    const auto name = ReadText(model, "name");
    Define(m_models, name, {path + ".name", LineOf(model, "name")}, "model");
    const auto base = ReadText(model, "base");
    const NamePlace place{path + ".base", LineOf(model, "base")};
    if (!base.empty() && base == name) {
      Report(place, "the model is its own base", "name the base model");
      return;
    }
    CheckKnown(own, base, place, "model of this service");
  }

  auto CheckEndpoints(const TextNode& service, const std::string& path)
      -> void {
    const auto* list = service.Find("endpoints");
    const auto& endpoints = ReadItems(service, "endpoints");
    if (list != nullptr && list->m_kind == NodeKind::kList &&
        endpoints.empty()) {
      Report({path + ".endpoints", LineOf(service, "endpoints")},
             "service '" + ReadText(service, "name") + "' has no endpoint",
             "add an endpoint with name, domain and address");
    }
    for (auto i = std::size_t{0}; i < endpoints.size(); ++i) {
      CheckEndpoint(endpoints[i], ItemPath(path + ".endpoints", i));
    }
  }

  auto CheckEndpoint(const TextNode& endpoint, const std::string& path)
      -> void {
    CheckKnown(m_domains, ReadText(endpoint, "domain"),
               {path + ".domain", LineOf(endpoint, "domain")}, "domain");
    const auto name = ReadText(endpoint, "name");
    const auto count = ReadCount(endpoint, "count", 1);
    const NamePlace name_place{path + ".name", LineOf(endpoint, "name")};
    const NamePlace address_place{path + ".address",
                                  LineOf(endpoint, "address")};
    auto address = ParseAddress(ReadText(endpoint, "address"));
    constexpr std::int64_t kMaxCount = 4096;
    for (auto i = std::int64_t{1}; i <= std::min(count, kMaxCount); ++i) {
      const auto suffix = count == 1 ? "" : "-" + std::to_string(i);
      Define(m_endpoints, name.empty() ? name : name + suffix, name_place,
             "endpoint");
      if (address) {
        Define(m_addresses, FormatAddress(*address), address_place, "address");
        ++address->m_ip;
      }
    }
  }

  auto CheckPrice(const TextNode& service, const std::string& path) -> void {
    constexpr std::int64_t kWholeUnit = 1000000;
    const auto* price = service.Find("price");
    if (price == nullptr) {
      return;
    }
    const auto currency = ReadText(m_root, "currency", kDefaultCurrency);
    for (const auto* key :
         {"per_million_prompt_tokens", "per_million_generated_tokens"}) {
      if (ReadMoney(*price, key, currency).value() % kWholeUnit != 0) {
        Report({path + ".price." + key, LineOf(*price, key)},
               "a price for a million tokens with a fraction",
               "write whole currency units: \"2 " + currency + "\"");
      }
    }
  }

  /// Follows depends_on from each service; a path back to it is a cycle.
  auto CheckCycles() -> void {
    for (const auto& node : ReadItems(m_root, "services")) {
      auto& edges = m_dependencies[ReadText(node, "name")];
      for (const auto& name : ReadTexts(node, "depends_on")) {
        edges.push_back(name.m_text);
      }
    }
    std::set<std::string> reported;
    for (const auto& entry : m_dependencies) {
      std::vector<std::string> cycle;
      std::set<std::string> visited;
      const auto found = FindPath(entry.first, entry.first, visited, cycle);
      if (found && !reported.contains(entry.first)) {
        ReportCycle(cycle);
        reported.insert(cycle.begin(), cycle.end());
      }
    }
  }

  /// Whether @p target can be reached from @p from; the services
  /// on the path are left in @p path.
  auto FindPath(const std::string& from,
                const std::string& target,
                std::set<std::string>& visited,
                std::vector<std::string>& path) -> bool {
    path.push_back(from);
    for (const auto& next : m_dependencies[from]) {
      if (next == target) {
        return true;
      }
      if (m_dependencies.contains(next) && visited.insert(next).second &&
          FindPath(next, target, visited, path)) {
        return true;
      }
    }
    path.pop_back();
    return false;
  }

  auto ReportCycle(const std::vector<std::string>& cycle) -> void {
    std::string path;
    for (const auto& name : cycle) {
      path += name + " -> ";
    }
    const auto& services = ReadItems(m_root, "services");
    for (auto i = std::size_t{0}; i < services.size(); ++i) {
      if (ReadText(services[i], "name") == cycle.front()) {
        Report({ItemPath("services", i) + ".depends_on",
                LineOf(services[i], "depends_on")},
               "services depend on each other: " + path + cycle.front(),
               "remove one of these dependencies");
        return;
      }
    }
  }

  auto CheckAccounts() -> void {
    const auto& accounts = ReadItems(m_root, "accounts");
    for (auto i = std::size_t{0}; i < accounts.size(); ++i) {
      const auto classes = ReadTexts(accounts[i], "classes");
      const auto path = ItemPath("accounts", i) + ".classes";
      for (auto j = std::size_t{0}; j < classes.size(); ++j) {
        CheckKnown(m_classes, classes[j].m_text,
                   {ItemPath(path, j), classes[j].m_line}, "class");
      }
    }
  }

  const TextNode& m_root;
  NameIndex m_domains;
  NameIndex m_services;
  NameIndex m_classes;
  NameIndex m_accounts;
  NameIndex m_models;
  NameIndex m_endpoints;
  NameIndex m_addresses;
  std::map<std::string, std::vector<std::string>> m_dependencies;
  std::vector<ConfigProblem> m_problems;
};

}  // namespace

auto CheckReferences(const TextNode& root) -> std::vector<ConfigProblem> {
  return ReferenceChecker(root).Run();
}

}  // namespace dotterelshed::pvt
