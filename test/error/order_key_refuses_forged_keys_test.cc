// Guards against an order key that is accepted although this lifetime of the node did not issue it.
#include <gtest/gtest.h>

#include "order_key.h"

namespace guavatrail {
namespace {

TEST(OrderKeyRefusesForgedKeys, TextFormRoundTrips) {
  OrderKeyMaker maker("encomendas-2", 1'700'000'000'123);
  OrderKey key = maker.Make(17);
  std::optional<OrderKey> read = ParseOrderKey(ToString(key));
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, key);
  EXPECT_TRUE(maker.IsAuthentic(*read));
}

TEST(OrderKeyRefusesForgedKeys, TagCoversEveryField) {
  OrderKeyMaker maker("encomendas-2", 5);
  OrderKey key = maker.Make(17);
  auto changed = [&](auto change) {
    OrderKey copy = key;
    change(copy);
    return maker.IsAuthentic(copy);
  };
  EXPECT_FALSE(changed([](OrderKey& k) { k.serial = 18; }));
  EXPECT_FALSE(changed([](OrderKey& k) { k.incarnation = 6; }));
  EXPECT_FALSE(changed([](OrderKey& k) { k.node = "encomendas-1"; }));
  EXPECT_FALSE(changed([](OrderKey& k) { k.tag = std::string(32, '0'); }));
  EXPECT_FALSE(OrderKeyMaker("encomendas-2", 5).IsAuthentic(key));
}

TEST(OrderKeyRefusesForgedKeys, RefusesMalformedText) {
  std::string tag(32, 'a');
  EXPECT_TRUE(ParseOrderKey("gt1.n.5.17." + tag));
  for (const std::string& text : {std::string(), std::string("order-4711"), "gt2.n.5.17." + tag,
                                  "gt1..5.17." + tag, "gt1.n.5.017." + tag, "gt1.n.-5.17." + tag,
                                  "gt1.n.5.17." + tag + ".x", "gt1.n.5.99999999999999999999." + tag,
                                  std::string("gt1.n.5.17.xyz"), std::string(100'000, '.')}) {
    EXPECT_FALSE(ParseOrderKey(text)) << text.substr(0, 60);
  }
}

}  // namespace
}  // namespace guavatrail
