package msg

import "reflect"

// PeerTypes returns the types of the peer messages in the order of their numbers
// on the wire. New types must be appended.
func PeerTypes() []reflect.Type {
	return []reflect.Type{
		reflect.TypeFor[ConfigQuery](), reflect.TypeFor[ConfigQueryReply](),
		reflect.TypeFor[ConfigFetch](), reflect.TypeFor[ConfigTransfer](),
		reflect.TypeFor[LeaseReleased](),
		reflect.TypeFor[ExchangePoll](), reflect.TypeFor[ExchangeReply](),
		reflect.TypeFor[CrashNotice](),
		reflect.TypeFor[LoadDigest](), reflect.TypeFor[RunCounts](),
		reflect.TypeFor[PrefillSent](),
		reflect.TypeFor[CatalogQuery](), reflect.TypeFor[CatalogReply](),
		reflect.TypeFor[CrashDigest](), reflect.TypeFor[WindowsFrozen](),
		reflect.TypeFor[StreamOrigins](), reflect.TypeFor[StreamOriginQuery](),
		reflect.TypeFor[QuotaAsk](), reflect.TypeFor[QuotaReply](), reflect.TypeFor[QuotaReturn](),
		reflect.TypeFor[LeaseWritten](), reflect.TypeFor[EntryLeaving](),
		reflect.TypeFor[StreamVersionsRecorded](),
		reflect.TypeFor[StateQuery](), reflect.TypeFor[StateReply](),
	}
}

// EventTypes returns the types of the events in the order of their numbers in
// recordings. New types must be appended.
func EventTypes() []reflect.Type {
	return []reflect.Type{
		reflect.TypeFor[Started](), reflect.TypeFor[Tick](), reflect.TypeFor[StopRequested](),
		reflect.TypeFor[ConfigChanged](), reflect.TypeFor[ConfigConfirmed](),
		reflect.TypeFor[GetDone](), reflect.TypeFor[ListDone](), reflect.TypeFor[PutDone](),
		reflect.TypeFor[WatchDone](), reflect.TypeFor[HostsListed](),
		reflect.TypeFor[LeaseRequested](), reflect.TypeFor[LeaseChanged](), reflect.TypeFor[LeaseHolderObserved](),
		reflect.TypeFor[PeerReceived](), reflect.TypeFor[PublishState](), reflect.TypeFor[AggregateReceived](),
		reflect.TypeFor[MembersChanged](),
		reflect.TypeFor[RequestArrived](), reflect.TypeFor[CallerDisconnected](), reflect.TypeFor[AttemptAccepted](),
		reflect.TypeFor[AttemptProgress](), reflect.TypeFor[AttemptEnded](), reflect.TypeFor[ClaimRequested](),
		reflect.TypeFor[ClaimSettled](), reflect.TypeFor[RequestEnded](), reflect.TypeFor[UsageCounted](),
		reflect.TypeFor[TargetReported](), reflect.TypeFor[TargetUnreachable](), reflect.TypeFor[CacheReported](),
		reflect.TypeFor[OrderResultReceived](), reflect.TypeFor[TargetProvisionDone](), reflect.TypeFor[TargetsListed](),
		reflect.TypeFor[AttemptOffered](), reflect.TypeFor[SideAttemptEnded](), reflect.TypeFor[EntryDisconnected](),
		reflect.TypeFor[OrderReceived](), reflect.TypeFor[OrderApplied](), reflect.TypeFor[TargetRead](),
		reflect.TypeFor[TargetCrashed](), reflect.TypeFor[UsageReported](),
		reflect.TypeFor[PeerUp](), reflect.TypeFor[PeerDown](),
		reflect.TypeFor[ConfigProposed](), reflect.TypeFor[DrainRequested](),
		reflect.TypeFor[ConfigRecordChanged](), reflect.TypeFor[PeerConfigReported](), reflect.TypeFor[PeerHostsReported](),
		reflect.TypeFor[AttemptStarting](),
		reflect.TypeFor[RoutesRead](), reflect.TypeFor[InstancesRead](), reflect.TypeFor[RoutesChanged](),
		reflect.TypeFor[RoutesConfirmed](), reflect.TypeFor[InstancesChanged](), reflect.TypeFor[DirectRequestArrived](),
		reflect.TypeFor[DirectAttemptStarted](), reflect.TypeFor[DirectAttemptEnded](), reflect.TypeFor[WindowReported](),
		reflect.TypeFor[RunCounted](), reflect.TypeFor[LimitsChanged](),
		reflect.TypeFor[DecodeDemandUpdated](), reflect.TypeFor[RoleChangeDone](), reflect.TypeFor[RoleChangePending](),
		reflect.TypeFor[CacheRead](), reflect.TypeFor[DirectRequestEnded](), reflect.TypeFor[FirstTokenReceived](),
		reflect.TypeFor[PrefillTimed](), reflect.TypeFor[CrashRecorded](),
		reflect.TypeFor[TargetProbed](), reflect.TypeFor[StoreEraChanged](), reflect.TypeFor[TargetNoticed](),
		reflect.TypeFor[SegmentBlocked](), reflect.TypeFor[TargetReachable](), reflect.TypeFor[TargetsLimited](),
		reflect.TypeFor[QuotaAsked](), reflect.TypeFor[QuotaUsed](),
		reflect.TypeFor[SpeedsUpdated](),
		reflect.TypeFor[StoreReachable](),
		reflect.TypeFor[EntriesTold](),
		reflect.TypeFor[DirectBodyStarted](), reflect.TypeFor[TargetReplaced](),
	}
}

// EffectTypes returns the types of the effects in the order of their numbers in
// recordings. New types must be appended.
func EffectTypes() []reflect.Type {
	return []reflect.Type{
		reflect.TypeFor[StopCompleted](), reflect.TypeFor[LogLine](),
		reflect.TypeFor[GetObject](), reflect.TypeFor[ListObjects](), reflect.TypeFor[PutObject](),
		reflect.TypeFor[DeleteObject](), reflect.TypeFor[WatchObjects](), reflect.TypeFor[ListHosts](),
		reflect.TypeFor[SendPeer](),
		reflect.TypeFor[RefuseRequest](), reflect.TypeFor[AbortRequest](), reflect.TypeFor[ReplayResponse](),
		reflect.TypeFor[StartAttempt](), reflect.TypeFor[CancelAttempt](), reflect.TypeFor[FinishRequest](),
		reflect.TypeFor[SendOrder](), reflect.TypeFor[ProvisionTarget](), reflect.TypeFor[ReleaseTarget](),
		reflect.TypeFor[ListTargets](),
		reflect.TypeFor[RunAttempt](), reflect.TypeFor[RefuseAttempt](), reflect.TypeFor[StopAttempt](),
		reflect.TypeFor[SendOrderReply](), reflect.TypeFor[ApplyOrder](), reflect.TypeFor[ReadTarget](),
		reflect.TypeFor[PublishReport](), reflect.TypeFor[ReportUsage](),
		reflect.TypeFor[Connect](), reflect.TypeFor[Disconnect](),
		reflect.TypeFor[AnswerConfigProposal](), reflect.TypeFor[AnswerDrainRequest](),
		reflect.TypeFor[SetHostAddr](),
		reflect.TypeFor[ReadRoutes](), reflect.TypeFor[ReadInstances](), reflect.TypeFor[StartDirectAttempt](),
		reflect.TypeFor[ForwardFailure](), reflect.TypeFor[FreeHandle](), reflect.TypeFor[SetReady](),
		reflect.TypeFor[ReportWindow](), reflect.TypeFor[ChangeRole](),
		reflect.TypeFor[ReadCache](), reflect.TypeFor[SetCallerLimits](),
		reflect.TypeFor[ProbeTarget](),
		reflect.TypeFor[AcceptLonger](),
	}
}
