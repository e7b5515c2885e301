// Checks which requests may be started while others of their connection are in progress. Guards
// against an order that starts beside other requests and against unlimited read-ahead.
#include "request_pipeline.h"

#include <gtest/gtest.h>

namespace guavatrail {
namespace {

constexpr PipelinedRequest kLookup = {.may_overlap = true, .closes = false, .bytes = 100};
constexpr PipelinedRequest kLast = {.may_overlap = true, .closes = true, .bytes = 100};
constexpr PipelinedRequest kOrder = {.may_overlap = false, .closes = false, .bytes = 100};

TEST(RequestPipelineTest, AnyRequestMayStartAlone) {
  RequestPipeline pipeline;
  for (const PipelinedRequest& request :
       {kLookup, kLast, kOrder, PipelinedRequest{.bytes = 10 * RequestPipeline::kMaxBytes}}) {
    EXPECT_TRUE(pipeline.MayStart(request));
    EXPECT_TRUE(pipeline.HasRoomFor(request.bytes));
  }
  EXPECT_TRUE(pipeline.IsOpen());
}

TEST(RequestPipelineTest, OnlyRequestsThatMayOverlapStartBesideOthers) {
  RequestPipeline pipeline;
  pipeline.Start(kLookup);
  EXPECT_TRUE(pipeline.MayStart(kLookup));
  EXPECT_FALSE(pipeline.MayStart(kOrder));
  pipeline.FinishFirst();
  pipeline.Start(kOrder);
  EXPECT_FALSE(pipeline.IsOpen());
  EXPECT_FALSE(pipeline.MayStart(kLookup));
  EXPECT_FALSE(pipeline.MayStart(kOrder));
  pipeline.FinishFirst();
  EXPECT_TRUE(pipeline.MayStart(kOrder));
}

TEST(RequestPipelineTest, NothingStartsBehindARequestThatClosesTheConnection) {
  RequestPipeline pipeline;
  pipeline.Start(kLookup);
  EXPECT_TRUE(pipeline.MayStart(kLast));
  pipeline.Start(kLast);
  EXPECT_FALSE(pipeline.IsOpen());
  EXPECT_FALSE(pipeline.MayStart(kLookup));
  pipeline.FinishFirst();
  EXPECT_FALSE(pipeline.MayStart(kLookup));
}

TEST(RequestPipelineTest, NumberOfRequestsIsLimited) {
  RequestPipeline pipeline;
  for (size_t i = 0; i < RequestPipeline::kMaxRequests; ++i) {
    EXPECT_TRUE(pipeline.MayStart(kLookup));
    pipeline.Start(kLookup);
  }
  EXPECT_FALSE(pipeline.IsOpen());
  EXPECT_FALSE(pipeline.MayStart(kLookup));
  pipeline.FinishFirst();
  EXPECT_TRUE(pipeline.MayStart(kLookup));
}

TEST(RequestPipelineTest, BytesBehindTheFirstRequestAreLimited) {
  RequestPipeline pipeline;
  PipelinedRequest half = {.may_overlap = true, .bytes = RequestPipeline::kMaxBytes / 2};
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(pipeline.MayStart(half));
    pipeline.Start(half);
  }
  EXPECT_FALSE(pipeline.HasRoomFor(1));
  EXPECT_FALSE(pipeline.MayStart(kLookup));
  pipeline.FinishFirst();
  EXPECT_TRUE(pipeline.MayStart(half));
}

}  // namespace
}  // namespace guavatrail
