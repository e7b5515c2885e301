#include "config_codec.h"

#include <glog/logging.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <sodium.h>

#include <array>
#include <cmath>

namespace guavatrail {

namespace {

tl::unexpected<CodecError> Fail(const std::string& message) {
  return tl::make_unexpected(CodecError{message});
}

// Whole numbers are encoded as integers, so that notes keep their digests.
void SetWeight(double weight, pb::RouteShare& out) {
  constexpr double kMaxInteger = 9'007'199'254'740'992.0;  // 2^53
  bool is_integer = weight <= kMaxInteger && weight == std::floor(weight);
  if (is_integer) {
    out.set_weight(static_cast<int64_t>(weight));
  } else {
    out.set_exact_weight(weight);
  }
}

double WeightOf(const pb::RouteShare& share) {
  return share.exact_weight() != 0 ? share.exact_weight() : static_cast<double>(share.weight());
}

pb::Resource ToProto(const Resource& resource) {
  struct Visitor {
    pb::Resource operator()(const Service& r) const {
      pb::Resource out;
      out.mutable_service()->set_name(r.name);
      out.mutable_service()->set_owner(r.owner);
      out.mutable_service()->set_objective(r.objective);
      out.mutable_service()->set_health_path(r.health_path);
      return out;
    }
    pb::Resource operator()(const WorkKind& r) const {
      pb::Resource out;
      pb::WorkKind* work = out.mutable_work_kind();
      work->set_name(r.name);
      work->set_deadline_ms(r.deadline_ms);
      work->set_idempotent(r.idempotent);
      work->set_importance(r.importance);
      work->set_is_short(r.is_short);
      work->set_key_per_request(r.key == KeyMode::kPerRequest);
      // The default is not encoded, so that notes without this field keep their digests.
      if (r.attempts != WorkKind().attempts) work->set_attempts(r.attempts);
      work->set_objective_ms(r.objective_ms);
      return out;
    }
    pb::Resource operator()(const Route& r) const {
      pb::Resource out;
      out.mutable_route()->set_name(r.name);
      out.mutable_route()->set_path_prefix(r.path_prefix);
      out.mutable_route()->set_service(r.service);
      out.mutable_route()->set_work(r.work);
      out.mutable_route()->set_host(r.host);
      out.mutable_route()->set_is_public(r.is_public);
      for (const RouteShare& share : r.shares) {
        pb::RouteShare* added = out.mutable_route()->add_shares();
        added->set_service(share.service);
        SetWeight(share.weight, *added);
      }
      out.mutable_route()->set_label(r.label);
      return out;
    }
    pb::Resource operator()(const Workspace& r) const {
      pb::Resource out;
      pb::Workspace* workspace = out.mutable_workspace();
      workspace->set_name(r.name);
      for (const std::string& key : r.api_keys) workspace->add_api_keys(key);
      workspace->set_importance(r.importance);
      workspace->set_rate_per_s(r.rate_per_s);
      workspace->set_burst(r.burst);
      return out;
    }
  };
  return std::visit(Visitor{}, resource);
}

tl::expected<Resource, CodecError> FromProto(const pb::Resource& message) {
  switch (message.resource_case()) {
    case pb::Resource::kService: {
      const pb::Service& r = message.service();
      return Service{r.name(), r.owner(), r.objective(), r.health_path()};
    }
    case pb::Resource::kWorkKind: {
      const pb::WorkKind& r = message.work_kind();
      KeyMode key = r.key_per_request() ? KeyMode::kPerRequest : KeyMode::kRequired;
      int attempts = r.attempts() == 0 ? WorkKind().attempts : r.attempts();
      return WorkKind{r.name(), r.deadline_ms(), r.idempotent(),  r.importance(), r.is_short(),
                      key,      attempts,        r.objective_ms()};
    }
    case pb::Resource::kRoute: {
      const pb::Route& r = message.route();
      Route route{r.name(), r.path_prefix(), r.service(), r.work(), r.host(),
                  {},       r.is_public(),   r.label()};
      for (const pb::RouteShare& share : r.shares()) {
        route.shares.push_back({share.service(), WeightOf(share)});
      }
      return route;
    }
    case pb::Resource::kWorkspace: {
      const pb::Workspace& r = message.workspace();
      return Workspace{r.name(),
                       {r.api_keys().begin(), r.api_keys().end()},
                       r.importance(),
                       r.rate_per_s(),
                       r.burst()};
    }
    case pb::Resource::RESOURCE_NOT_SET:
      break;
  }
  return Fail("resource: unknown type");
}

template <typename Repeated>
tl::expected<std::vector<Resource>, CodecError> FromProtoList(const Repeated& messages) {
  std::vector<Resource> resources;
  resources.reserve(messages.size());
  for (const pb::Resource& message : messages) {
    auto resource = FromProto(message);
    if (!resource) return tl::make_unexpected(resource.error());
    resources.push_back(std::move(*resource));
  }
  return resources;
}

pb::ApiKeyPolicy ToPolicy(bool requires_api_keys) {
  return requires_api_keys ? pb::API_KEY_POLICY_REQUIRED : pb::API_KEY_POLICY_NOT_REQUIRED;
}

template <typename Message>
bool Parse(std::string_view bytes, Message& message) {
  return bytes.size() <= INT32_MAX &&
         message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

}  // namespace

std::string SerializeCanonical(const google::protobuf::MessageLite& message) {
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    CHECK(message.SerializeToCodedStream(&coded)) << "cannot serialize the protobuf message";
  }
  return bytes;
}

pb::ResourceRef ToProto(const ResourceRef& ref) {
  pb::ResourceRef out;
  switch (ref.type) {
    case ResourceType::kService:
      out.set_type(pb::RESOURCE_TYPE_SERVICE);
      break;
    case ResourceType::kWorkKind:
      out.set_type(pb::RESOURCE_TYPE_WORK_KIND);
      break;
    case ResourceType::kRoute:
      out.set_type(pb::RESOURCE_TYPE_ROUTE);
      break;
    case ResourceType::kWorkspace:
      out.set_type(pb::RESOURCE_TYPE_WORKSPACE);
      break;
  }
  out.set_name(ref.name);
  return out;
}

tl::expected<ResourceRef, CodecError> FromProto(const pb::ResourceRef& message) {
  switch (message.type()) {
    case pb::RESOURCE_TYPE_SERVICE:
      return ResourceRef{ResourceType::kService, message.name()};
    case pb::RESOURCE_TYPE_WORK_KIND:
      return ResourceRef{ResourceType::kWorkKind, message.name()};
    case pb::RESOURCE_TYPE_ROUTE:
      return ResourceRef{ResourceType::kRoute, message.name()};
    case pb::RESOURCE_TYPE_WORKSPACE:
      return ResourceRef{ResourceType::kWorkspace, message.name()};
    default:
      return Fail("resource reference: unknown resource type");
  }
}

std::string EncodeNote(const ReleaseNote& note) {
  pb::ReleaseNote out;
  out.set_id(note.id);
  out.set_author(note.author);
  out.set_summary(note.summary);
  for (const Resource& resource : note.added) *out.add_added() = ToProto(resource);
  for (const Resource& resource : note.changed) *out.add_changed() = ToProto(resource);
  for (const ResourceRef& ref : note.withdrawn) *out.add_withdrawn() = ToProto(ref);
  if (note.requires_api_keys) out.set_api_key_policy(ToPolicy(*note.requires_api_keys));
  return SerializeCanonical(out);
}

tl::expected<ReleaseNote, CodecError> DecodeNote(std::string_view bytes) {
  auto note = DecodeChange(bytes);
  if (!note) return note;
  if (auto valid = ValidateNote(*note); !valid) return Fail(valid.error().message);
  return note;
}

tl::expected<ReleaseNote, CodecError> DecodeChange(std::string_view bytes) {
  pb::ReleaseNote message;
  if (!Parse(bytes, message)) return Fail("release note: cannot parse the protobuf message");
  ReleaseNote note{.id = message.id(), .author = message.author(), .summary = message.summary()};
  if (message.api_key_policy() != pb::API_KEY_POLICY_NOT_STATED) {
    note.requires_api_keys = message.api_key_policy() == pb::API_KEY_POLICY_REQUIRED;
  }
  auto added = FromProtoList(message.added());
  if (!added) return tl::make_unexpected(added.error());
  note.added = std::move(*added);
  auto changed = FromProtoList(message.changed());
  if (!changed) return tl::make_unexpected(changed.error());
  note.changed = std::move(*changed);
  for (const pb::ResourceRef& ref : message.withdrawn()) {
    auto decoded = FromProto(ref);
    if (!decoded) return tl::make_unexpected(decoded.error());
    note.withdrawn.push_back(std::move(*decoded));
  }
  if (EncodeNote(note) != bytes) return Fail("release note: encoding is not canonical");
  if (auto valid = ValidateChange(note); !valid) return Fail(valid.error().message);
  return note;
}

std::string EncodeTable(const ConfigTable& table) {
  pb::Table out;
  out.set_version(table.version());
  for (const Resource& resource : table.Resources()) *out.add_resources() = ToProto(resource);
  if (table.workspaces().empty()) out.set_api_key_policy(ToPolicy(table.requires_api_keys()));
  if (const CallerLimits& limits = table.limits(); limits != CallerLimits()) {
    out.mutable_limits()->set_max_head_bytes(limits.max_head_bytes);
    out.mutable_limits()->set_max_body_bytes(limits.max_body_bytes);
    out.mutable_limits()->set_read_timeout_ms(limits.read_timeout_ms);
    out.mutable_limits()->set_idle_timeout_ms(limits.idle_timeout_ms);
  }
  return SerializeCanonical(out);
}

tl::expected<ConfigTable, CodecError> DecodeTable(std::string_view bytes) {
  pb::Table message;
  if (!Parse(bytes, message)) return Fail("table: cannot parse the protobuf message");
  auto resources = FromProtoList(message.resources());
  if (!resources) return tl::make_unexpected(resources.error());
  auto table = ConfigTable::FromResources(message.version(), *resources);
  if (!table) return Fail(table.error().message);
  // Older builds did not state the policy: whether their callers need keys is not known, and a
  // guess could admit requests without a key.
  bool is_policy_known =
      !table->workspaces().empty() || message.api_key_policy() != pb::API_KEY_POLICY_NOT_STATED;
  if (!is_policy_known)
    return Fail("table: has no workspaces and does not state whether requests need API keys");
  if (message.api_key_policy() == pb::API_KEY_POLICY_REQUIRED) table->RequireApiKeys();
  const pb::CallerLimits& limits = message.limits();
  table->SetLimits({limits.max_head_bytes(), limits.max_body_bytes(), limits.read_timeout_ms(),
                    limits.idle_timeout_ms()});
  if (EncodeTable(*table) != bytes) return Fail("table: encoding is not canonical");
  return std::move(*table);
}

std::string DigestOf(std::string_view bytes) {
  // sodium_init is idempotent; it selects the fastest implementation of the hash.
  static const int kInitialized = sodium_init();
  CHECK_GE(kInitialized, 0) << "sodium_init failed";
  std::array<unsigned char, crypto_generichash_BYTES> hash{};
  crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                     bytes.size(), nullptr, 0);
  std::array<char, 2 * crypto_generichash_BYTES + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
  return hex.data();
}

}  // namespace guavatrail
