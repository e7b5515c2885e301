// Guards against sample notes that cannot be published, alone or together in one mesh.
#include <gtest/gtest.h>

#include "config_codec.h"
#include "release_note.h"

namespace guavatrail {
namespace {

ReleaseNote Example(const std::string& name) {
  auto note = LoadReleaseNote(std::string(GUAVATRAIL_EXAMPLES_DIR) + "/notes/" + name);
  EXPECT_TRUE(note) << note.error().message;
  return note.value_or(ReleaseNote{});
}

TEST(ExampleNotesApply, BothApplyToOneTableInEitherOrder) {
  ReleaseNote gaveta = Example("gaveta-viva.toml");
  ReleaseNote aurinko = Example("aurinkopilkku.toml");
  auto one = ConfigTable().Apply(gaveta);
  ASSERT_TRUE(one) << one.error().message;
  auto both = one->Apply(aurinko);
  ASSERT_TRUE(both) << both.error().message;
  auto other = ConfigTable().Apply(aurinko);
  ASSERT_TRUE(other) << other.error().message;
  auto reversed = other->Apply(gaveta);
  ASSERT_TRUE(reversed) << reversed.error().message;
  EXPECT_EQ(*both, *reversed);
  EXPECT_EQ(both->version(), 2u);
  EXPECT_EQ(both->services().size(), 8u);
}

TEST(ExampleNotesApply, RoutesResolveToTheirWorkKind) {
  auto table = ConfigTable().Apply(Example("gaveta-viva.toml"));
  ASSERT_TRUE(table);
  EXPECT_EQ(table->MatchRoute("/catalogo/parts/17")->work, "lookup");
  EXPECT_EQ(table->MatchRoute("/catalogo/check")->work, "check");
  EXPECT_FALSE(table->FindWorkKind("order")->idempotent);
  EXPECT_EQ(table->FindWorkKind("claim")->key, KeyMode::kRequired);
  EXPECT_EQ(table->MatchRoute("/elsewhere"), nullptr);
}

TEST(ExampleNotesApply, EncodedNoteAndTableDecodeToTheSameValues) {
  ReleaseNote note = Example("gaveta-viva.toml");
  auto decoded = DecodeNote(EncodeNote(note));
  ASSERT_TRUE(decoded) << decoded.error().message;
  EXPECT_EQ(*decoded, note);
  auto table = ConfigTable().Apply(note);
  auto decoded_table = DecodeTable(EncodeTable(*table));
  ASSERT_TRUE(decoded_table) << decoded_table.error().message;
  EXPECT_EQ(*decoded_table, *table);
}

}  // namespace
}  // namespace guavatrail
